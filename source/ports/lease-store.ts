/**
Interface to the platform's store, with the calls that a lease and the records under it need.
*/
import type {Option} from 'fp-ts/lib/Option.js';
import type {Result} from 'neverthrow';
import type {StoreError} from './store-error.js';

type LeaseId = string | number;

type Item = {readonly key: string; readonly value: string; readonly revision: number};

type Transaction = {
	/** Revision 0 means that the key does not exist. */
	readonly precondition: ReadonlyArray<{readonly key: string; readonly revision: number}>;
	readonly write: ReadonlyArray<{readonly key: string; readonly value: string; readonly lease?: LeaseId}>;
	readonly remove: readonly string[];
};

type Transacted =
	| {readonly kind: 'written'; readonly revision: number; readonly era: number}
	| {readonly kind: 'conflict'; readonly items: readonly Item[]; readonly era: number}
	| {readonly kind: 'no lease'; readonly era: number};

/**
Every call has a timeout and never throws. `era` is the store's when it answered (see `StorePosition`).
A lease that has expired is removed with the keys that were written under it.
*/
export type LeaseStore = {
	/** Creates a lease; it runs from the arrival of the call. */
	grantLease(durationMilliseconds: number): Promise<Result<{readonly lease: LeaseId; readonly durationMilliseconds: number; readonly era: number}, StoreError>>;
	/** Renews a lease; `isHeld` is false when it has expired. */
	renewLease(lease: LeaseId): Promise<Result<{readonly isHeld: boolean; readonly era: number}, StoreError>>;
	endLease(lease: LeaseId): Promise<Result<void, StoreError>>;
	/** Writes and removes all, or nothing when a precondition does not hold. */
	transact(transaction: Transaction): Promise<Result<Transacted, StoreError>>;
	readItem(key: string): Promise<Result<{readonly item: Option<Item>; readonly era: number}, StoreError>>;
	close(): Promise<void>;
};
