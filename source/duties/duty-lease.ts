/**
Contends for the lease of a duty in the platform's store, and keeps it.
*/
import * as option from 'fp-ts/lib/Option.js';
import type {Logger} from 'roarr';
import {decideLease} from '../decisions/duties/decide-lease.js';
import {fencingToken} from '../decisions/duties/fencing-token.js';
import type {LeaseEffect} from '../decisions/duties/lease-effect.js';
import type {LeaseEvent} from '../decisions/duties/lease-event.js';
import type {LeaseState} from '../decisions/duties/lease-state.js';
import {mayCall} from '../decisions/duties/may-call.js';
import type {EntryMetrics} from '../entry/entry-metrics.js';
import type {LeaseStore} from '../ports/lease-store.js';

type LeaseOptions = {
	readonly name: string;
	/** Key of the lease's record in the store. */
	readonly key: string;
	readonly leaseMilliseconds: number;
	readonly store: LeaseStore;
	readonly log: Pick<Logger, 'info' | 'warn'>;
	readonly metrics: Pick<EntryMetrics, 'count' | 'gauge'>;
	readonly now: () => number;
	/** Called when the lease is acquired, and when it is lost or given up. */
	readonly onHeld: (token: number) => void;
	readonly onLost: (token: number) => void;
};

type Holding = Extract<LeaseState, {readonly kind: 'holding'}>;
type Tick = Omit<Extract<LeaseEvent, {readonly kind: 'tick'}>, 'kind'>;

/** Delay before the lease is read first, so that links to peers open and a holder is heard. */
const startMilliseconds = 2000;

/**
One instance a duty and process.

@example
```
lease.tick({rank: 0, heardAt, isOutnumbered: false});
if (lease.mayCall()) {
	report(lease.holding!.token);
}
```
*/
export class DutyLease {
	#state: LeaseState;
	/** What the store granted, if that is less than what was asked for. */
	#durationMilliseconds = 0;
	readonly #options: LeaseOptions;

	constructor(options: LeaseOptions) {
		this.#options = options;
		this.#state = {kind: 'following', lookAt: options.now() + startMilliseconds};
	}

	/** The lease while it is held, also in the waiting time before the first call. */
	get holding(): Holding | undefined {
		return this.#state.kind === 'holding' ? this.#state : undefined;
	}

	/** True while calls under the lease are allowed; to be asked just before each. */
	mayCall(): boolean {
		return mayCall(this.#state, this.#options.now());
	}

	/** Must be called several times a second. */
	tick(tick: Tick): void {
		this.#dispatch({kind: 'tick', ...tick});
	}

	/** Gives the lease up because it, or its token, has been overtaken. */
	giveUp(token: number, reason: 'fenced' | 'superseded'): void {
		if (this.holding?.token === token) {
			this.#dispatch({kind: 'give up', reason});
		}
	}

	/** Records that the store has shown that the lease is not held. */
	recordLost(token: number): void {
		if (this.holding?.token === token) {
			this.#dispatch({kind: 'lease lost'});
		}
	}

	/** Ends the lease before a planned stop. */
	resign(): void {
		this.#dispatch({kind: 'resign'});
	}

	#dispatch(event: LeaseEvent): void {
		const {state, effects} = decideLease(this.#state, event, this.#options.leaseMilliseconds, this.#options.now());
		this.#state = state;
		for (const effect of effects) {
			this.#perform(effect);
		}
	}

	#perform(effect: LeaseEffect): void {
		const {store, log, metrics, now, onHeld, onLost} = this.#options;
		switch (effect.kind) {
			case 'look': {
				void this.#look();
				break;
			}

			case 'acquire': {
				void this.#acquire();
				break;
			}

			case 'renew': {
				void this.#renew(effect.lease);
				break;
			}

			case 'end lease': {
				void store.endLease(effect.lease);
				break;
			}

			case 'hold': {
				const {era, revision, actsFrom} = this.holding!;
				metrics.count('duty.lease.acquired');
				metrics.gauge('duty.holder', 1);
				log.info({
					event: 'duty lease acquired', token: effect.token, era, revision, actsIn: Math.round(actsFrom - now()),
				}, 'lease of the usage reports acquired');
				onHeld(effect.token);
				break;
			}

			case 'step down': {
				metrics.count(`duty.lease.ended.${effect.reason.replaceAll(' ', '-')}`);
				metrics.gauge('duty.holder', 0);
				log.warn({event: 'duty lease lost', token: effect.token, reason: effect.reason}, 'lease of the usage reports no longer held');
				onLost(effect.token);
				break;
			}
		}
	}

	async #look(): Promise<void> {
		const {store, key, metrics} = this.#options;
		metrics.count('duty.store.look');
		const found = await store.readItem(key);
		this.#dispatch(found.match(
			({item}): LeaseEvent => ({kind: 'looked', isVacant: option.isNone(item)}),
			() => ({kind: 'look failed'}),
		));
	}

	async #acquire(): Promise<void> {
		const {store, key, name, leaseMilliseconds, metrics, now} = this.#options;
		const askedAt = now();
		metrics.count('duty.store.acquire');
		const granted = await store.grantLease(leaseMilliseconds);
		if (granted.isErr()) {
			this.#dispatch({kind: 'not acquired'});
			return;
		}

		const {lease, durationMilliseconds, era} = granted.value;
		const written = await store.transact({precondition: [{key, revision: 0}], write: [{key, value: name, lease}], remove: []});
		const isWritten = written.isOk() && written.value.kind === 'written';
		// With the same era before and after, the transaction was carried out in that era, to which its revision belongs.
		const token = isWritten && written.value.era === era ? fencingToken({era, revision: written.value.revision}) : option.none;
		if (isWritten && option.isSome(token)) {
			this.#durationMilliseconds = Math.min(leaseMilliseconds, durationMilliseconds);
			this.#dispatch({
				kind: 'acquired', askedAt, token: token.value, era, revision: written.value.revision, lease, durationMilliseconds: this.#durationMilliseconds,
			});
			return;
		}

		// After a lost answer the key may be written or may be yet; without its lease it is not kept.
		void store.endLease(lease);
		this.#dispatch({kind: 'not acquired'});
	}

	async #renew(lease: string | number): Promise<void> {
		const {store, metrics, now} = this.#options;
		const askedAt = now();
		metrics.count('duty.store.renew');
		const token = this.holding?.token;
		const renewed = await store.renewLease(lease);
		if (token !== this.holding?.token) {
			return;
		}

		this.#dispatch(renewed.match(
			({isHeld, era}): LeaseEvent => isHeld
				? {
					kind: 'renewed', askedAt, era, durationMilliseconds: this.#durationMilliseconds,
				}
				: {kind: 'lease lost'},
			() => ({kind: 'renewal failed'}),
		));
	}
}
