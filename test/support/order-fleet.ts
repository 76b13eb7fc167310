/**
Leaders, sidecars, engines and a store on a virtual clock, with freezes,
restarts, outages and lost answers. It judges every order at the moment when it
reaches an engine.
*/
import assert from 'node:assert/strict';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {decideLeadership} from '../../source/decisions/authority/decide-leadership.js';
import type {LeadershipEvent} from '../../source/decisions/authority/leadership-event.js';
import type {LeadershipState} from '../../source/decisions/authority/leadership-state.js';
import type {OrderGateEvent} from '../../source/decisions/authority/order-gate-event.js';
import {OrderGate} from '../../source/decisions/authority/order-gate.js';
import {resultCode} from '../../source/generated/result-codes.js';

type Step =
	| {readonly kind: 'wait'; readonly milliseconds: number}
	| {readonly kind: 'freeze leader'; readonly leader: number; readonly milliseconds: number}
	| {readonly kind: 'freeze sidecar'; readonly sidecar: number; readonly milliseconds: number}
	| {readonly kind: 'restart sidecar'; readonly sidecar: number}
	| {readonly kind: 'crash engine'; readonly sidecar: number}
	| {readonly kind: 'outage'; readonly milliseconds: number}
	| {readonly kind: 'lose answers'; readonly count: number};

type Leader = {state: LeadershipState; frozenUntil: number; sequence: number; nextTickAt: number};
type Sidecar = {
	gate: OrderGate;
	incarnation: number;
	frozenUntil: number;
	/** The engine's order under way, whoever told it. */
	engine: {readonly endsAt: number; readonly incarnation: number; readonly sequence: number} | undefined;
	nextTickAt: number;
};
type Lease = {readonly fencingNumber: number; readonly holder: number; expiresAt: number};

const slotMilliseconds = 50;
const leaseSeconds = 6;
const orderMilliseconds = 4000;
const longestOrderMilliseconds = 6000;
const notAfterMilliseconds = 30_000;
const callMilliseconds = 2000;
const engineWayMilliseconds = 300;

/**
A small fleet for randomised runs of orders. The engines ignore fencing numbers.

@example
```
const fleet = new OrderFleet(seed);
fleet.step({kind: 'freeze leader', leader: 0, milliseconds: 9000});
```
*/
export class OrderFleet {
	executed = 0;
	takeovers = 0;
	#now = 0;
	#revision = 0;
	#lease: Lease | undefined;
	#outageUntil = 0;
	#answersToLose = 0;
	#events: Array<{readonly at: number; readonly run: () => void}> = [];
	readonly #random: ReturnType<typeof xoroshiro128plus>;
	readonly #leaders: Leader[];
	readonly #sidecars: Sidecar[];

	constructor(seed: number) {
		this.#random = xoroshiro128plus(seed);
		this.#leaders = Array.from({length: 3}, () => ({
			state: {kind: 'following', acquireAt: 0}, frozenUntil: 0, sequence: 0, nextTickAt: 0,
		}));
		this.#sidecars = Array.from({length: 2}, () => ({
			gate: new OrderGate(0, longestOrderMilliseconds), incarnation: 0, frozenUntil: 0, engine: undefined, nextTickAt: 0,
		}));
	}

	step(step: Step): void {
		switch (step.kind) {
			case 'wait': {
				this.#advance(step.milliseconds);
				break;
			}

			case 'freeze leader': {
				const leader = this.#leaders[step.leader]!;
				leader.frozenUntil = this.#now + step.milliseconds;
				break;
			}

			case 'freeze sidecar': {
				const sidecar = this.#sidecars[step.sidecar]!;
				sidecar.frozenUntil = this.#now + step.milliseconds;
				break;
			}

			case 'restart sidecar': {
				const sidecar = this.#sidecars[step.sidecar]!;
				sidecar.gate = new OrderGate(this.#now, longestOrderMilliseconds);
				sidecar.incarnation += 1;
				break;
			}

			case 'crash engine': {
				this.#crashEngine(this.#sidecars[step.sidecar]!);
				break;
			}

			case 'outage': {
				this.#outageUntil = this.#now + step.milliseconds;
				break;
			}

			case 'lose answers': {
				this.#answersToLose = step.count;
				break;
			}
		}
	}

	#pick(limit: number): number {
		return uniformInt(this.#random, 0, limit - 1);
	}

	#advance(milliseconds: number): void {
		const until = this.#now + milliseconds;
		while (this.#now < until) {
			this.#now += slotMilliseconds;
			if (this.#lease !== undefined && this.#lease.expiresAt <= this.#now) {
				this.#lease = undefined;
			}

			const due = this.#events.filter(({at}) => at <= this.#now).toSorted((first, second) => first.at - second.at);
			this.#events = this.#events.filter(({at}) => at > this.#now);
			for (const {run} of due) {
				run();
			}

			for (const index of this.#leaders.keys()) {
				this.#tickLeader(index);
			}

			for (const index of this.#sidecars.keys()) {
				this.#tickSidecar(index);
			}
		}
	}

	#later(milliseconds: number, run: () => void): void {
		this.#events.push({at: this.#now + milliseconds, run});
	}

	/** Runs in a process once it is not frozen; a frozen process handles what came in when it wakes. */
	#whenAwake(process: {readonly frozenUntil: number}, run: () => void): void {
		if (process.frozenUntil > this.#now) {
			this.#later(process.frozenUntil - this.#now + slotMilliseconds, () => {
				this.#whenAwake(process, run);
			});
			return;
		}

		run();
	}

	/** Calls the store; `act` runs there at some moment, unless there is an outage; its answer may be lost. */
	#call<Answer>(act: () => Answer, answer: (value: Answer | undefined) => void): void {
		const way = 1 + this.#pick(callMilliseconds / 2);
		this.#later(way, () => {
			if (this.#outageUntil > this.#now) {
				this.#later(callMilliseconds, () => {
					answer(undefined);
				});
				return;
			}

			const value = act();
			const isLost = this.#answersToLose > 0;
			this.#answersToLose -= isLost ? 1 : 0;
			this.#later(isLost ? callMilliseconds : 1 + this.#pick(callMilliseconds / 2), () => {
				answer(isLost ? undefined : value);
			});
		});
	}

	#tickLeader(index: number): void {
		const leader = this.#leaders[index]!;
		if (leader.frozenUntil > this.#now || leader.nextTickAt > this.#now) {
			return;
		}

		leader.nextTickAt = this.#now + 500;
		const before = leader.state;
		// An order that was decided on just before a freeze goes out when the process wakes, whatever has happened since.
		if (before.kind === 'leading' && before.settledTargets.length > 0 && this.#pick(3) === 0) {
			this.#give(index, before);
		}

		this.#leaderEvent(index, {
			kind: 'tick', isCandidate: true, targets: this.#sidecars.map(({incarnation}, target) => `${target}@${incarnation}`),
		});
	}

	#give(index: number, state: Extract<LeadershipState, {readonly kind: 'raising' | 'leading'}>): void {
		const leader = this.#leaders[index]!;
		leader.sequence += 1;
		const target = Number(state.settledTargets[this.#pick(state.settledTargets.length)]?.split('@')[0]);
		const message = {
			kind: 'order', service: 'models', fencingNumber: state.fencingNumber, sequence: leader.sequence, notAfterMilliseconds, order: {action: 'change role', role: 'decode'},
		} as const;
		this.#later(1 + this.#pick(4000), () => {
			this.#gateEvent(target, {kind: 'order', link: String(index), message});
		});
	}

	#leaderEvent(index: number, event: LeadershipEvent): void {
		const leader = this.#leaders[index]!;
		const {state, effects} = decideLeadership(leader.state, event, this.#now);
		leader.state = state;
		for (const effect of effects) {
			switch (effect.kind) {
				case 'acquire': {
					this.#acquire(index);
					break;
				}

				case 'renew': {
					this.#renew(index);
					break;
				}

				case 'raise fence': {
					const target = Number(effect.target.split('@')[0]);
					this.#later(1 + this.#pick(500), () => {
						this.#gateEvent(target, {kind: 'raise fence', link: String(index), fencingNumber: effect.fencingNumber});
					});
					break;
				}

				case 'release':
				case 'lead':
				case 'step down': {
					break;
				}
			}
		}
	}

	#acquire(index: number): void {
		const leader = this.#leaders[index]!;
		const askedAt = this.#now;
		this.#call(() => {
			if (this.#lease !== undefined) {
				return 0;
			}

			this.#revision += 1;
			this.takeovers += 1;
			this.#lease = {fencingNumber: this.#revision, holder: index, expiresAt: this.#now + (leaseSeconds * 1000)};
			return this.#revision;
		}, fencingNumber => {
			this.#whenAwake(leader, () => {
				leader.sequence = 0;
				this.#leaderEvent(index, fencingNumber === undefined || fencingNumber === 0
					? {kind: 'not acquired'}
					: {
						kind: 'acquired', askedAt, fencingNumber, lease: String(fencingNumber), seconds: leaseSeconds,
					});
			});
		});
	}

	#renew(index: number): void {
		const leader = this.#leaders[index]!;
		const askedAt = this.#now;
		const fencingNumber = 'fencingNumber' in leader.state ? leader.state.fencingNumber : 0;
		this.#call(() => {
			if (this.#lease?.fencingNumber !== fencingNumber) {
				return 0;
			}

			this.#lease.expiresAt = this.#now + (leaseSeconds * 1000);
			return leaseSeconds;
		}, seconds => {
			this.#whenAwake(leader, () => {
				if ('fencingNumber' in leader.state && leader.state.fencingNumber === fencingNumber) {
					this.#leaderEvent(index, seconds === undefined ? {kind: 'renewal failed'} : {kind: 'renewed', askedAt, seconds});
				}
			});
		});
	}

	#tickSidecar(index: number): void {
		const sidecar = this.#sidecars[index]!;
		if (sidecar.engine !== undefined && sidecar.engine.endsAt <= this.#now) {
			const {incarnation, sequence} = sidecar.engine;
			sidecar.engine = undefined;
			if (incarnation === sidecar.incarnation) {
				this.#gateEvent(index, {kind: 'order ended', sequence, code: resultCode.ok});
			}
		}

		if (sidecar.frozenUntil > this.#now || sidecar.nextTickAt > this.#now) {
			return;
		}

		sidecar.nextTickAt = this.#now + 500;
		this.#gateEvent(index, {kind: 'tick'});
		this.#gateEvent(index, {kind: 'engine state', isChanging: sidecar.engine !== undefined});
	}

	#gateEvent(index: number, event: OrderGateEvent): void {
		const sidecar = this.#sidecars[index]!;
		const {incarnation} = sidecar;
		this.#whenAwake(sidecar, () => {
			// What came in for a process that was restarted meanwhile is gone with it.
			if (sidecar.incarnation === incarnation) {
				this.#handle(index, event);
			}
		});
	}

	#handle(index: number, event: OrderGateEvent): void {
		const sidecar = this.#sidecars[index]!;
		const {incarnation} = sidecar;
		for (const effect of sidecar.gate.handle(event, this.#now)) {
			switch (effect.kind) {
				case 'empty target': {
					this.#later(1 + this.#pick(3000), () => {
						if (sidecar.incarnation === incarnation) {
							this.#gateEvent(index, {kind: 'target idle'});
						}
					});
					break;
				}

				case 'read authority': {
					const readStartedAt = this.#now;
					this.#call(
						() => this.#lease?.fencingNumber === effect.fencingNumber ? this.#lease.expiresAt - this.#now : 0,
						remaining => {
							if (sidecar.incarnation === incarnation) {
								this.#gateEvent(index, {
									kind: 'authority read', fencingNumber: effect.fencingNumber, readStartedAt, remainingMilliseconds: remaining ?? 0,
								});
							}
						},
					);
					break;
				}

				case 'execute': {
					const {fencingNumber, sequence} = effect;
					this.#later(1 + this.#pick(engineWayMilliseconds), () => {
						this.#reachEngine(sidecar, {fencingNumber, sequence, incarnation});
					});
					break;
				}

				case 'reply fence raised': {
					const target = `${index}@${incarnation}`;
					this.#later(1 + this.#pick(500), () => {
						const leader = this.#leaders[Number(effect.link)]!;
						this.#whenAwake(leader, () => {
							this.#leaderEvent(Number(effect.link), {
								kind: 'fence raised', target, fencingNumber: effect.fencingNumber, settled: effect.settled,
							});
						});
					});
					break;
				}

				case 'release target':
				case 'reply order result': {
					break;
				}
			}
		}
	}

	/** The judgement: nothing else is under way, and whoever gave the order holds the lease at this moment. */
	#reachEngine(sidecar: Sidecar, {fencingNumber, sequence, incarnation}: {readonly fencingNumber: number; readonly sequence: number; readonly incarnation: number}): void {
		this.executed += 1;
		assert.equal(sidecar.engine, undefined, `an order under ${fencingNumber} reached an engine that was changing`);
		assert.equal(this.#lease?.fencingNumber, fencingNumber, `an order under ${fencingNumber} reached an engine, but the lease was held under ${this.#lease?.fencingNumber ?? 'none'}`);
		sidecar.engine = {endsAt: this.#now + orderMilliseconds + this.#pick(1500), incarnation, sequence};
	}

	#crashEngine(sidecar: Sidecar): void {
		const {engine} = sidecar;
		if (engine === undefined) {
			return;
		}

		sidecar.engine = undefined;
		if (engine.incarnation === sidecar.incarnation) {
			this.#gateEvent(this.#sidecars.indexOf(sidecar), {kind: 'order ended', sequence: engine.sequence, code: resultCode.engineLostInChange});
		}
	}
}
