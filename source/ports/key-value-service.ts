/**
Port to the platform's key-value service.
*/
import type {Option} from 'fp-ts/lib/Option.js';
import type {Result} from 'neverthrow';
import type {StoredValue} from './stored-value.js';
import type {StoreError} from './store-error.js';

/**
The calls that the system makes. Every call has a deadline and never throws.

@example
```
const current = await store.read('cowsliprudder/configuration');
```
*/
export type KeyValueService = {
	/** Calls made so far, a watch as one. */
	readonly calls: number;

	read(key: string): Promise<Result<Option<StoredValue>, StoreError>>;

	/**
	Writes only if the key's last change is `expectedRevision`; 0 means that the key must not exist.
	Gives the new revision, or none when the comparison failed. `also` is written with it or not at all.
	*/
	compareAndSwap(swap: {
		readonly key: string;
		readonly expectedRevision: number;
		readonly value: string;
		readonly lease?: string;
		readonly also?: ReadonlyArray<{readonly key: string; readonly value: string}>;
	}): Promise<Result<Option<number>, StoreError>>;

	/** Deletes only if the key's last change is `expectedRevision`; true when deleted. */
	compareAndDelete(key: string, expectedRevision: number): Promise<Result<boolean, StoreError>>;

	/** Gives the identifier of a new lease. */
	grantLease(seconds: number): Promise<Result<string, StoreError>>;

	/** Extends a lease; gives its seconds from now, 0 when it has lapsed. */
	keepLease(lease: string): Promise<Result<number, StoreError>>;

	/** Seconds that a lease still has, 0 or less when it has lapsed. */
	leaseRemaining(lease: string): Promise<Result<number, StoreError>>;

	revokeLease(lease: string): Promise<Result<void, StoreError>>;

	/** Calls back on each change of the key until stopped; `onEnd` once the watch breaks off. */
	watch(key: string, onChange: (value: StoredValue) => void, onEnd: () => void): {readonly stop: () => void};
};
