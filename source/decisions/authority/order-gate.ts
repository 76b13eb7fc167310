/**
The only writer of orders to one engine.

The promises kept here: an engine never receives conflicting orders, and orders
from a process that has lost its authority have no effect on it. The gate
carries out one order at a time; it refuses any below the highest fencing number
seen; and just before the engine is told, it confirms with the store that the
fencing number still holds the lease, counting the answer's remaining time from
the moment when the read was started. So engines that ignore fencing numbers are
protected too.
*/
import {resultCode} from '../../generated/result-codes.js';
import type {OrderMessage} from '../../generated/messages.js';
import {assertInvariant} from '../../shared/assert-invariant.js';
import type {OrderGateEffect} from './order-gate-effect.js';
import type {OrderGateEvent} from './order-gate-event.js';

/** Time that must be left of the lease for an order to start: the way from here to the engine. */
const startMarginMilliseconds = 500;

type Taken = {readonly message: OrderMessage; readonly link: string; readonly takenAt: number};
type Phase =
	| {readonly kind: 'none'}
	/** Running work ends; nothing new starts. */
	| ({readonly kind: 'emptying'} & Taken)
	/** The store has been asked. */
	| ({readonly kind: 'confirming'; readonly askedAt: number} & Taken)
	/** The engine has been told. */
	| ({readonly kind: 'executing'} & Taken)
	/** The engine may still carry out an order that this process did not see end; `emptied` while it is kept without work. */
	| {readonly kind: 'settling'; readonly until: number; readonly emptied: boolean};

type EventOf<Kind extends OrderGateEvent['kind']> = Extract<OrderGateEvent, {readonly kind: Kind}>;

/**
The order gate of one sidecar. Deterministic: the caller passes the time.

Invariant: between two `execute` effects there is an `order ended`, or the
longest time that an order can take has passed and the engine says that it is
not changing.

@example
```
const gate = new OrderGate(clock(), 60_000);
gate.handle({kind: 'order', link, message}, clock());
```
*/
export class OrderGate {
	#highestFencingNumber = 0;
	#lastSequence = 0;
	#phase: Phase;
	readonly #longestOrderMilliseconds: number;

	/** A new process cannot know what its predecessor told the engine, so it begins by waiting that out. */
	constructor(startedAt: number, longestOrderMilliseconds: number) {
		this.#longestOrderMilliseconds = longestOrderMilliseconds;
		this.#phase = {kind: 'settling', until: startedAt + longestOrderMilliseconds, emptied: false};
	}

	/** True when no order is taken or may be under way at the engine. */
	get isSettled(): boolean {
		return this.#phase.kind === 'none';
	}

	handle(event: OrderGateEvent, now: number): readonly OrderGateEffect[] {
		switch (event.kind) {
			case 'raise fence': {
				return this.#raise(event);
			}

			case 'order': {
				return this.#take(event, now);
			}

			case 'target idle': {
				return this.#confirm(now);
			}

			case 'authority read': {
				return this.#authorityRead(event, now);
			}

			case 'order ended': {
				return this.#ended(event, now);
			}

			case 'engine state': {
				return this.#observed(event, now);
			}

			case 'tick': {
				return this.#expire(now);
			}
		}
	}

	/** An order that has not reached the engine gives way to the higher number. */
	#raise({link, fencingNumber}: EventOf<'raise fence'>): readonly OrderGateEffect[] {
		const abandoned = fencingNumber > this.#highestFencingNumber ? this.#abandon(resultCode.fencingNumberTooLow) : [];
		this.#setFencingNumber(fencingNumber);
		return [...abandoned, {
			kind: 'reply fence raised', link, fencingNumber: this.#highestFencingNumber, settled: this.isSettled,
		}];
	}

	#take({link, message}: EventOf<'order'>, now: number): readonly OrderGateEffect[] {
		const {fencingNumber, sequence} = message;
		const refuse = (code: number): readonly OrderGateEffect[] => [{
			kind: 'reply order result', link, fencingNumber, sequence, code,
		}];
		if (fencingNumber < this.#highestFencingNumber) {
			return refuse(resultCode.fencingNumberTooLow);
		}

		const abandoned = fencingNumber > this.#highestFencingNumber ? this.#abandon(resultCode.fencingNumberTooLow) : [];
		this.#setFencingNumber(fencingNumber);
		if (sequence <= this.#lastSequence) {
			return [...abandoned, ...refuse(resultCode.orderSequenceRepeated)];
		}

		if (this.#phase.kind !== 'none') {
			return [...abandoned, ...refuse(resultCode.orderOutstanding)];
		}

		this.#lastSequence = sequence;
		this.#phase = {
			kind: 'emptying', message, link, takenAt: now,
		};
		return [...abandoned, {kind: 'empty target'}];
	}

	#confirm(now: number): readonly OrderGateEffect[] {
		if (this.#phase.kind !== 'emptying') {
			return [];
		}

		const {message: {service, fencingNumber}} = this.#phase;
		this.#phase = {...this.#phase, kind: 'confirming', askedAt: now};
		return [{kind: 'read authority', service, fencingNumber}];
	}

	#authorityRead({fencingNumber, readStartedAt, remainingMilliseconds}: EventOf<'authority read'>, now: number): readonly OrderGateEffect[] {
		// An answer to an earlier order's question says nothing of this one.
		if (this.#phase.kind !== 'confirming' || fencingNumber !== this.#phase.message.fencingNumber || readStartedAt < this.#phase.askedAt) {
			return [];
		}

		const {message, takenAt} = this.#phase;
		if (readStartedAt + remainingMilliseconds < now + startMarginMilliseconds) {
			return this.#abandon(resultCode.authorityUnconfirmed);
		}

		if (takenAt + message.notAfterMilliseconds < now) {
			return this.#abandon(resultCode.orderExpired);
		}

		assertInvariant(fencingNumber === this.#highestFencingNumber, resultCode.orderInvariantBroken, `order under ${fencingNumber} after ${this.#highestFencingNumber}`);
		this.#phase = {...this.#phase, kind: 'executing'};
		return [{
			kind: 'execute', order: message.order, fencingNumber, sequence: message.sequence,
		}];
	}

	#ended({sequence, code}: EventOf<'order ended'>, now: number): readonly OrderGateEffect[] {
		if (this.#phase.kind !== 'executing' || this.#phase.message.sequence !== sequence) {
			return [];
		}

		const {link, message: {fencingNumber}} = this.#phase;
		const isCertain = code !== resultCode.engineLostInChange;
		// A broken connection does not say that the engine has stopped changing.
		this.#phase = isCertain ? {kind: 'none'} : {kind: 'settling', until: now + this.#longestOrderMilliseconds, emptied: true};
		return [
			...isCertain ? [{kind: 'release target' as const}] : [],
			{
				kind: 'reply order result', link, fencingNumber, sequence, code,
			},
		];
	}

	/** An engine that is not changing may work at once; orders wait until the longest order has passed. */
	#observed({isChanging}: EventOf<'engine state'>, now: number): readonly OrderGateEffect[] {
		if (this.#phase.kind !== 'settling' || isChanging) {
			return [];
		}

		const {emptied, until} = this.#phase;
		this.#phase = now < until ? {...this.#phase, emptied: false} : {kind: 'none'};
		return emptied ? [{kind: 'release target'}] : [];
	}

	#expire(now: number): readonly OrderGateEffect[] {
		if (this.#phase.kind !== 'emptying' && this.#phase.kind !== 'confirming') {
			return [];
		}

		const startsBy = this.#phase.takenAt + this.#phase.message.notAfterMilliseconds;
		return startsBy < now ? this.#abandon(resultCode.orderExpired) : [];
	}

	/** Gives up an order that the engine has not been told of. */
	#abandon(code: number): readonly OrderGateEffect[] {
		if (this.#phase.kind !== 'emptying' && this.#phase.kind !== 'confirming') {
			return [];
		}

		const {link, message: {fencingNumber, sequence}} = this.#phase;
		this.#phase = {kind: 'none'};
		return [{kind: 'release target'}, {
			kind: 'reply order result', link, fencingNumber, sequence, code,
		}];
	}

	/** Sequences are counted anew under each fencing number. */
	#setFencingNumber(fencingNumber: number): void {
		if (fencingNumber > this.#highestFencingNumber) {
			this.#highestFencingNumber = fencingNumber;
			this.#lastSequence = 0;
		}
	}
}
