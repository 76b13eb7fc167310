/**
Interface to the platform's key-value service, modelled on etcd.
*/
import type {Option} from 'fp-ts/lib/Option.js';
import type {Result} from 'neverthrow';
import type {StoredValue} from './stored-value.js';
import type {StoreError} from './store-error.js';

/**
Calls that the system makes. Every call has a timeout and never throws.

@example
```
const current = await store.read('cowsliprudder/configuration');
```
*/
export type KeyValueService = {
	/** Number of calls made so far. A watch counts as one call. */
	readonly calls: number;

	read(key: string): Promise<Result<Option<StoredValue>, StoreError>>;

	/**
	Writes the value if the key was last modified at `expectedRevision`; 0 means that the key must not exist.
	Returns the new revision, or none if the comparison failed. `alsoPut` is written in the same transaction.
	*/
	compareAndSwap(swap: {
		readonly key: string;
		readonly expectedRevision: number;
		readonly value: string;
		readonly lease?: string;
		readonly alsoPut?: ReadonlyArray<{readonly key: string; readonly value: string}>;
	}): Promise<Result<Option<number>, StoreError>>;

	/** Deletes the key if it was last modified at `expectedRevision`. Returns true if it was deleted. */
	compareAndDelete(key: string, expectedRevision: number): Promise<Result<boolean, StoreError>>;

	/** Creates a lease and returns its identifier. */
	grantLease(seconds: number): Promise<Result<string, StoreError>>;

	/** Renews a lease. Returns its remaining seconds, or 0 if it has expired. */
	keepLeaseAlive(lease: string): Promise<Result<number, StoreError>>;

	/** Returns the remaining seconds of a lease, 0 or less if it has expired. */
	leaseTimeToLive(lease: string): Promise<Result<number, StoreError>>;

	revokeLease(lease: string): Promise<Result<void, StoreError>>;

	/** Calls `onChange` on each change of the key until stopped, and `onEnd` once if the watch ends without being stopped. */
	watch(key: string, onChange: (value: StoredValue) => void, onEnd: () => void): {readonly stop: () => void};
};
