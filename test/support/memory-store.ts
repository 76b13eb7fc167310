/**
A key-value service in memory whose calls fail as the platform's do.
*/
import * as option from 'fp-ts/lib/Option.js';
import {err, ok, type Result} from 'neverthrow';
import type {KeyValueService} from '../../source/ports/key-value-service.js';
import type {StoredValue} from '../../source/ports/stored-value.js';
import type {StoreError} from '../../source/ports/store-error.js';

type Fault = 'none' | 'refused' | 'answer lost' | 'request lost';

/**
A store whose next call's fault is chosen by `nextFault`. Calls of different
processes are interleaved at each await.

@example
```
const store = new MemoryStore(() => 'none');
```
*/
export class MemoryStore implements KeyValueService {
	calls = 0;
	revision = 1;
	readonly entries = new Map<string, StoredValue>();
	readonly #nextFault: () => Fault;
	readonly #watchers = new Map<string, Set<(value: StoredValue) => void>>();

	constructor(nextFault: () => Fault) {
		this.#nextFault = nextFault;
	}

	async read(key: string): Promise<Result<option.Option<StoredValue>, StoreError>> {
		return this.#call(() => option.fromNullable(this.entries.get(key)));
	}

	async compareAndSwap({key, expectedRevision, value, lease, alsoPut = []}: Parameters<KeyValueService['compareAndSwap']>[0]): Promise<Result<option.Option<number>, StoreError>> {
		return this.#call(() => {
			if ((this.entries.get(key)?.revision ?? 0) !== expectedRevision) {
				return option.none;
			}

			this.revision += 1;
			this.#put(key, value, lease);
			for (const other of alsoPut) {
				this.#put(other.key, other.value, undefined);
			}

			return option.some(this.revision);
		});
	}

	async compareAndDelete(key: string, expectedRevision: number): Promise<Result<boolean, StoreError>> {
		return this.#call(() => this.entries.get(key)?.revision === expectedRevision && this.entries.delete(key));
	}

	async grantLease(): Promise<Result<string, StoreError>> {
		return this.#call(() => '1');
	}

	async keepLeaseAlive(): Promise<Result<number, StoreError>> {
		return this.#call(() => 1);
	}

	async leaseTimeToLive(): Promise<Result<number, StoreError>> {
		return this.#call(() => 1);
	}

	async revokeLease(): Promise<Result<void, StoreError>> {
		return this.#call(() => undefined);
	}

	watch(key: string, onChange: (value: StoredValue) => void): {readonly stop: () => void} {
		const watchers = this.#watchers.get(key) ?? new Set();
		this.#watchers.set(key, watchers);
		watchers.add(onChange);
		return {
			stop() {
				watchers.delete(onChange);
			},
		};
	}

	#put(key: string, value: string, lease = '0'): void {
		const stored: StoredValue = {
			value, revision: this.revision, createdRevision: this.entries.get(key)?.createdRevision ?? this.revision, lease,
		};
		this.entries.set(key, stored);
		for (const watcher of this.#watchers.get(key) ?? []) {
			watcher(stored);
		}
	}

	async #call<Answer>(act: () => Answer): Promise<Result<Answer, StoreError>> {
		this.calls += 1;
		const fault = this.#nextFault();
		await Promise.resolve();
		if (fault === 'refused') {
			return err({kind: 'did not happen', detail: 'refused'});
		}

		if (fault === 'request lost') {
			return err({kind: 'unknown', detail: 'request lost'});
		}

		const answer = act();
		await Promise.resolve();
		return fault === 'answer lost' ? err({kind: 'unknown', detail: 'answer lost'}) : ok(answer);
	}
}
