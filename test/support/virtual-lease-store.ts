/**
The platform's store in virtual time, with its calls for leases and conditional writes.

Calls may be lost, carried out late, or left without an answer. The store may come back from an
older copy, whereupon its revisions and the numbers of its leases are given out again.
*/
import * as option from 'fp-ts/lib/Option.js';
import {err, ok, type Result} from 'neverthrow';
import type {LeaseStore} from '../../source/ports/lease-store.js';
import type {StoreError} from '../../source/ports/store-error.js';
import type {VirtualTime} from './virtual-time.js';

type Fault = 'none' | 'silent' | 'lost answer' | 'late';

type Caller = {
	/** What happens to a call of this caller that is made now. */
	readonly fault: () => Fault;
	/** Carries out what is due at the caller, once its process runs. */
	readonly run: (act: () => void) => void;
};

type Item = {readonly value: string; readonly revision: number; readonly lease: number};
type Lease = {readonly expiresAt: number; readonly durationMilliseconds: number};
type Copy = {readonly revision: number; readonly nextLease: number; readonly items: ReadonlyMap<string, Item>; readonly leases: ReadonlyMap<number, Lease>};
type Transaction = Parameters<LeaseStore['transact']>[0];
type Transacted =
	| {readonly kind: 'written'; readonly revision: number}
	| {readonly kind: 'conflict'; readonly items: ReadonlyArray<Item & {readonly key: string}>}
	| {readonly kind: 'no lease'};
type CallName = keyof LeaseStore;

const timeoutMilliseconds = 700;
const wayMilliseconds = 2;

/**
Invariant: a transaction is atomic, and a key whose lease has expired is gone.

@example
```
const store = new VirtualLeaseStore(time, random);
const port = store.port({fault: () => 'none', run});
```
*/
export class VirtualLeaseStore {
	era = 1;
	slowMilliseconds = 0;
	/** Number of calls that arrived, by name. */
	readonly calls = new Map<CallName, number>();
	/** Leases under which a key was written, by the token that is made of it: when that was, and until when each has run. */
	readonly #acquisitions = new Map<number, {readonly acquiredAt: number; readonly era: number; readonly lease: number; expiresAt: number}>();
	#revision = 100;
	#nextLease = 1;
	#items = new Map<string, Item>();
	#leases = new Map<number, Lease>();
	readonly #time: VirtualTime;
	readonly #random: () => number;

	constructor(time: VirtualTime, random: () => number) {
		this.#time = time;
		this.#random = random;
	}

	copy(): Copy {
		return {
			revision: this.#revision, nextLease: this.#nextLease, items: new Map(this.#items), leases: new Map(this.#leases),
		};
	}

	restore({revision, nextLease, items, leases}: Copy): void {
		this.era++;
		this.#revision = revision;
		this.#nextLease = nextLease;
		this.#items = new Map(items);
		this.#leases = new Map(leases);
	}

	/** The lease of a fencing token, as it was before any return of the store from a copy. */
	leaseOf(token: number): {readonly acquiredAt: number; readonly expiresAt: number} | undefined {
		return this.#acquisitions.get(token);
	}

	keys(prefix: string): readonly string[] {
		return [...this.#items.keys()].filter(key => key.startsWith(prefix));
	}

	port(caller: Caller): LeaseStore {
		return {
			grantLease: async durationMilliseconds => this.#call('grantLease', caller, () => this.#grant(durationMilliseconds)),
			renewLease: async lease => this.#call('renewLease', caller, () => ({isHeld: this.#renew(Number(lease))})),
			endLease: async lease => {
				const ended = await this.#call('endLease', caller, () => {
					this.#end(Number(lease));
					return {};
				});
				return ended.map(() => undefined);
			},
			transact: async transaction => this.#call('transact', caller, () => this.#transact(transaction)),
			readItem: async key => this.#call('readItem', caller, () => ({item: option.map((item: Item) => ({key, ...item}))(option.fromNullable(this.#items.get(key)))})),
			close: async () => undefined,
		};
	}

	#grant(durationMilliseconds: number): {readonly lease: number; readonly durationMilliseconds: number} {
		const lease = this.#nextLease;
		this.#nextLease++;
		this.#leases.set(lease, {expiresAt: this.#time.now + durationMilliseconds, durationMilliseconds});
		return {lease, durationMilliseconds};
	}

	#renew(id: number): boolean {
		const lease = this.#leases.get(id);
		if (lease !== undefined) {
			const expiresAt = this.#time.now + lease.durationMilliseconds;
			this.#leases.set(id, {...lease, expiresAt});
			for (const acquisition of this.#acquisitions.values()) {
				acquisition.expiresAt = acquisition.lease === id && acquisition.era === this.era ? expiresAt : acquisition.expiresAt;
			}
		}

		return lease !== undefined;
	}

	#end(id: number): void {
		this.#leases.delete(id);
		for (const [key, {lease}] of this.#items) {
			if (lease === id) {
				this.#revision++;
				this.#items.delete(key);
			}
		}
	}

	#transact({precondition, write, remove}: Transaction): Transacted {
		if (precondition.some(({key, revision}) => (this.#items.get(key)?.revision ?? 0) !== revision)) {
			return {kind: 'conflict', items: precondition.flatMap(({key}) => this.#items.has(key) ? [{key, ...this.#items.get(key)!}] : [])};
		}

		if (write.some(({lease}) => lease !== undefined && !this.#leases.has(Number(lease)))) {
			return {kind: 'no lease'};
		}

		this.#revision++;
		for (const {key, value, lease = 0} of write) {
			this.#items.set(key, {value, revision: this.#revision, lease: Number(lease)});
			const held = this.#leases.get(Number(lease));
			if (held !== undefined) {
				this.#acquisitions.set((this.era * (2 ** 40)) + this.#revision, {
					acquiredAt: this.#time.now, era: this.era, lease: Number(lease), expiresAt: held.expiresAt,
				});
			}
		}

		for (const key of remove) {
			this.#items.delete(key);
		}

		return {kind: 'written', revision: this.#revision};
	}

	#expire(): void {
		for (const [id, {expiresAt}] of this.#leases) {
			if (expiresAt <= this.#time.now) {
				this.#end(id);
			}
		}
	}

	/** The era in an answer is that of the moment at which the answer leaves, which may be later than that of the call. */
	async #call<Answer extends Readonly<Record<string, unknown>>>(name: CallName, caller: Caller, act: () => Answer): Promise<Result<Answer & {readonly era: number}, StoreError>> {
		const fault = caller.fault();
		return new Promise(resolve => {
			const cancel = this.#time.after(timeoutMilliseconds, () => {
				caller.run(() => {
					resolve(err({kind: 'unknown', detail: 'no answer'}));
				});
			});
			if (fault === 'silent') {
				return;
			}

			const lateMilliseconds = fault === 'late' ? this.#random() * 5000 : 0;
			this.#time.after(wayMilliseconds + lateMilliseconds, () => {
				this.calls.set(name, (this.calls.get(name) ?? 0) + 1);
				this.#expire();
				const answer = act();
				this.#time.after(wayMilliseconds + this.slowMilliseconds, () => {
					const {era} = this;
					if (fault === 'none') {
						caller.run(() => {
							cancel();
							resolve(ok({...answer, era}));
						});
					}
				});
			});
		});
	}
}
