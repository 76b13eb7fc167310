/**
Admits orders to one engine; every order to the engine passes through it.

It guarantees that an engine never receives conflicting orders, and that orders
of a leader that has lost its lease have no effect. The gate admits one order at
a time and refuses orders with a fencing number below the highest one seen.
Just before it sends an order to the engine, it reads from the store whether the
order's fencing number still holds the lease, and counts the remaining duration
of the lease from the start of that read. Engines that do not check fencing
numbers are therefore protected too.
*/
import {resultCode} from '../../generated/result-codes.js';
import type {OrderMessage} from '../../generated/messages.js';
import {assertInvariant} from '../../shared/assert-invariant.js';
import type {OrderGateEffect} from './order-gate-effect.js';
import type {OrderGateEvent} from './order-gate-event.js';

/** Minimum remaining duration of the lease for an order to start; it allows for the transit time to the engine. */
const startMarginMilliseconds = 500;

type AcceptedOrder = {readonly message: OrderMessage; readonly link: string; readonly acceptedAt: number};
type Phase =
	| {readonly kind: 'none'}
	/** An order was accepted; the target drains. */
	| ({readonly kind: 'emptying'} & AcceptedOrder)
	/** The target is drained; the read of the lease from the store is outstanding. */
	| ({readonly kind: 'confirming'; readonly askedAt: number} & AcceptedOrder)
	/** The order was sent to the engine and has not ended. */
	| ({readonly kind: 'executing'} & AcceptedOrder)
	/** The engine may still carry out an order whose end this process did not see; `emptied` while the target is kept drained. */
	| {readonly kind: 'settling'; readonly until: number; readonly emptied: boolean};

type EventOf<Kind extends OrderGateEvent['kind']> = Extract<OrderGateEvent, {readonly kind: Kind}>;

/**
The order gate of one sidecar. It reads no clock: the caller passes the time.

Invariant: a second `execute` effect follows only after an `order ended` event
for the first, or after the maximum duration of an order has passed and the
engine has reported that it is not changing.

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

	/** A restarted sidecar does not know which order its predecessor sent to the engine, so it first waits for the maximum duration of an order. */
	constructor(startedAt: number, longestOrderMilliseconds: number) {
		this.#longestOrderMilliseconds = longestOrderMilliseconds;
		this.#phase = {kind: 'settling', until: startedAt + longestOrderMilliseconds, emptied: false};
	}

	/** True when no order has been accepted and none can still be running at the engine. */
	get isSettled(): boolean {
		return this.#phase.kind === 'none';
	}

	/** Returns the effects of an event, to be carried out in order. */
	handle(event: OrderGateEvent, now: number): readonly OrderGateEffect[] {
		switch (event.kind) {
			case 'raise fence': {
				return this.#raiseFence(event);
			}

			case 'order': {
				return this.#accept(event, now);
			}

			case 'target idle': {
				return this.#startConfirmation(now);
			}

			case 'authority read': {
				return this.#onAuthorityRead(event, now);
			}

			case 'order ended': {
				return this.#onOrderEnded(event, now);
			}

			case 'engine state': {
				return this.#onEngineState(event, now);
			}

			case 'tick': {
				return this.#cancelExpired(now);
			}
		}
	}

	/** A higher fencing number cancels an order that has not been sent to the engine. */
	#raiseFence({link, fencingNumber}: EventOf<'raise fence'>): readonly OrderGateEffect[] {
		const cancelled = fencingNumber > this.#highestFencingNumber ? this.#cancel(resultCode.fencingNumberTooLow) : [];
		this.#setFencingNumber(fencingNumber);
		return [...cancelled, {
			kind: 'reply fence raised', link, fencingNumber: this.#highestFencingNumber, settled: this.isSettled,
		}];
	}

	#accept({link, message}: EventOf<'order'>, now: number): readonly OrderGateEffect[] {
		const {fencingNumber, sequence} = message;
		const refuse = (code: number): readonly OrderGateEffect[] => [{
			kind: 'reply order result', link, fencingNumber, sequence, code,
		}];
		if (fencingNumber < this.#highestFencingNumber) {
			return refuse(resultCode.fencingNumberTooLow);
		}

		const cancelled = fencingNumber > this.#highestFencingNumber ? this.#cancel(resultCode.fencingNumberTooLow) : [];
		this.#setFencingNumber(fencingNumber);
		if (sequence <= this.#lastSequence) {
			return [...cancelled, ...refuse(resultCode.orderSequenceRepeated)];
		}

		if (this.#phase.kind !== 'none') {
			return [...cancelled, ...refuse(resultCode.orderOutstanding)];
		}

		this.#lastSequence = sequence;
		this.#phase = {
			kind: 'emptying', message, link, acceptedAt: now,
		};
		return [...cancelled, {kind: 'empty target'}];
	}

	#startConfirmation(now: number): readonly OrderGateEffect[] {
		if (this.#phase.kind !== 'emptying') {
			return [];
		}

		const {message: {service, fencingNumber}} = this.#phase;
		this.#phase = {...this.#phase, kind: 'confirming', askedAt: now};
		return [{kind: 'read authority', service, fencingNumber}];
	}

	#onAuthorityRead({fencingNumber, readStartedAt, remainingMilliseconds}: EventOf<'authority read'>, now: number): readonly OrderGateEffect[] {
		// A read that was started for an earlier order does not confirm this one.
		if (this.#phase.kind !== 'confirming' || fencingNumber !== this.#phase.message.fencingNumber || readStartedAt < this.#phase.askedAt) {
			return [];
		}

		const {message, acceptedAt} = this.#phase;
		if (readStartedAt + remainingMilliseconds < now + startMarginMilliseconds) {
			return this.#cancel(resultCode.authorityUnconfirmed);
		}

		if (acceptedAt + message.notAfterMilliseconds < now) {
			return this.#cancel(resultCode.orderExpired);
		}

		assertInvariant(fencingNumber === this.#highestFencingNumber, resultCode.orderInvariantBroken, `order with fencing number ${fencingNumber} follows number ${this.#highestFencingNumber}`);
		this.#phase = {...this.#phase, kind: 'executing'};
		return [{
			kind: 'execute', order: message.order, fencingNumber, sequence: message.sequence,
		}];
	}

	#onOrderEnded({sequence, code}: EventOf<'order ended'>, now: number): readonly OrderGateEffect[] {
		if (this.#phase.kind !== 'executing' || this.#phase.message.sequence !== sequence) {
			return [];
		}

		const {link, message: {fencingNumber}} = this.#phase;
		const isEndConfirmed = code !== resultCode.engineLostInChange;
		// When the connection to the engine broke during the change, the engine may still be changing.
		this.#phase = isEndConfirmed ? {kind: 'none'} : {kind: 'settling', until: now + this.#longestOrderMilliseconds, emptied: true};
		return [
			...isEndConfirmed ? [{kind: 'release target' as const}] : [],
			{
				kind: 'reply order result', link, fencingNumber, sequence, code,
			},
		];
	}

	/** An engine that is not changing may serve requests at once, but orders wait until the maximum duration of an order has passed. */
	#onEngineState({isChanging}: EventOf<'engine state'>, now: number): readonly OrderGateEffect[] {
		if (this.#phase.kind !== 'settling' || isChanging) {
			return [];
		}

		const {emptied, until} = this.#phase;
		this.#phase = now < until ? {...this.#phase, emptied: false} : {kind: 'none'};
		return emptied ? [{kind: 'release target'}] : [];
	}

	/** Cancels an order that was not sent to the engine within the time that its sender allowed. */
	#cancelExpired(now: number): readonly OrderGateEffect[] {
		if (this.#phase.kind !== 'emptying' && this.#phase.kind !== 'confirming') {
			return [];
		}

		const startDeadline = this.#phase.acceptedAt + this.#phase.message.notAfterMilliseconds;
		return startDeadline < now ? this.#cancel(resultCode.orderExpired) : [];
	}

	/** Cancels an order that has not been sent to the engine and reports the code to its sender. */
	#cancel(code: number): readonly OrderGateEffect[] {
		if (this.#phase.kind !== 'emptying' && this.#phase.kind !== 'confirming') {
			return [];
		}

		const {link, message: {fencingNumber, sequence}} = this.#phase;
		this.#phase = {kind: 'none'};
		return [{kind: 'release target'}, {
			kind: 'reply order result', link, fencingNumber, sequence, code,
		}];
	}

	/** Stores a higher fencing number. Sequence numbers restart under each fencing number. */
	#setFencingNumber(fencingNumber: number): void {
		if (fencingNumber > this.#highestFencingNumber) {
			this.#highestFencingNumber = fencingNumber;
			this.#lastSequence = 0;
		}
	}
}
