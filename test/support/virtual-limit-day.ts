/**
A day in virtual time on which targets name rate limits, while gateways are cut off, frozen,
killed and started again, and callers come to them unevenly.
*/
import type {Logger} from 'roarr';
import {EntryMetrics} from '../../source/entry/entry-metrics.js';
import {TargetRateLimits} from '../../source/entry/target-rate-limits.js';
import type {NamedRateLimit} from '../../source/fleet/named-rate-limit.js';
import type {TargetRecord} from '../../source/fleet/target-record.js';
import {RateLimitJudge} from './rate-limit-judge.js';
import {SeededChance} from './seeded-chance.js';
import {VirtualLimitFleet} from './virtual-limit-fleet.js';
import {VirtualProcess} from './virtual-process.js';
import {VirtualTime} from './virtual-time.js';

type Target = {readonly record: TargetRecord; limit: number | undefined; taken: number; /** Requests since it last named no limit any more. */ takenSinceEnd: number};

type Member = {readonly name: string; readonly weight: number; process: VirtualProcess; limits: TargetRateLimits};

type DayOptions = {
	readonly seed: number;
	readonly gateways: number;
	/** Whether gateways are cut off, frozen, killed and started again. */
	readonly hasTroubles: boolean;
	/** Limits that are named at the quarter of the day, by index of the target; undefined for a target without one. */
	readonly limits: ReadonlyArray<number | undefined>;
	/** When all limits end, in milliseconds from the start of the day; never when left out. */
	readonly endsAt?: number;
	/** Whether targets change their limits, drop them and name new ones in between. */
	readonly hasChanges?: boolean;
	/** Requests a second, at all gateways. */
	readonly load: number;
	readonly milliseconds: number;
};

const firstNamedMilliseconds = 4000;
const troubleMilliseconds = {least: 1200, most: 3500} as const;
/** A divided fleet stays so for longer, until each half takes the other for gone. */
const splitFactor = 2.5;
const answerMilliseconds = {least: 15, most: 80} as const;
const maintenanceMilliseconds = 1000;
/** Between two changes of limits. */
const changeMilliseconds = {least: 500, most: 4000} as const;

/**
One day, drawn from its seed.

@example
```
const day = new VirtualLimitDay({seed: 7, gateways: 5, hasTroubles: true, limits: [8.6, 4.2, undefined], load: 120, milliseconds: 24_000});
await day.run();
day.judge.violations;
```
*/
export class VirtualLimitDay {
	readonly judge = new RateLimitJudge();
	/** What was done to the fleet, in order. */
	readonly deeds: string[] = [];
	refused = 0;
	requests = 0;
	readonly #options: DayOptions;
	readonly #chance: SeededChance;
	readonly #time = new VirtualTime();
	readonly #links: VirtualLimitFleet;
	readonly #targets: readonly Target[];
	readonly #members: Member[];

	constructor(options: DayOptions) {
		this.#options = options;
		this.#chance = new SeededChance(options.seed);
		this.#links = new VirtualLimitFleet(this.#time, this.#chance);
		this.#targets = options.limits.map((_, index) => ({
			record: this.#record(index), limit: undefined, taken: 0, takenSinceEnd: 0,
		}));
		this.#members = [];
		const names = Array.from({length: options.gateways}, (_, index) => `gateway-${index}`);
		for (const name of names) {
			this.#members.push({name, weight: this.#chance.random() < 0.3 ? 0.02 : 0.3 + this.#chance.random(), ...this.#start(name, true)});
		}
	}

	/** Requests a second that each limited target has got since it named its limit, and that limit. */
	get usage(): ReadonlyArray<{readonly limit: number; readonly perSecond: number}> {
		const seconds = (this.#options.milliseconds - firstNamedMilliseconds) / 1000;
		return this.#targets.flatMap(({limit, taken}) => limit === undefined ? [] : [{limit, perSecond: taken / seconds}]);
	}

	/** Requests that each target without a limit has got since it dropped its last one. */
	get freeRequests(): readonly number[] {
		return this.#targets.filter(({limit}) => limit === undefined).map(({takenSinceEnd}) => takenSinceEnd);
	}

	async run(): Promise<void> {
		const {hasTroubles, hasChanges = false, endsAt, limits, milliseconds} = this.#options;
		this.#nextRequest();
		this.#time.after(firstNamedMilliseconds, () => {
			for (const [index, target] of this.#targets.entries()) {
				this.#name(target, limits[index]);
			}
		});
		if (hasTroubles) {
			this.#nextTrouble();
		}

		if (hasChanges) {
			this.#nextChange();
		}

		if (endsAt !== undefined) {
			this.#time.after(endsAt, () => {
				for (const target of this.#targets) {
					this.#name(target, undefined);
				}
			});
		}

		await this.#time.run(milliseconds);
		for (const {process} of this.#members) {
			process.kill();
		}
	}

	#record(index: number): TargetRecord {
		const id = `i-${index}`;
		return {
			id, incarnation: `${id} 1`, bornAt: 1, service: 's', address: id, availabilityZone: 'a', isDraining: false, slots: 64, role: 'decode',
		};
	}

	/** At random, one target names another limit or none. */
	#nextChange(): void {
		this.#time.after(firstNamedMilliseconds + this.#chance.between(changeMilliseconds.least, changeMilliseconds.most), () => {
			this.#name(this.#chance.pick(this.#targets), this.#chance.pick([undefined, ...this.#options.limits]));
			this.#nextChange();
		});
	}

	#name(target: Target, limit: number | undefined): void {
		this.judge.end(target.record.id);
		target.limit = limit;
		target.takenSinceEnd = 0;
		if (limit !== undefined) {
			this.judge.name(target.record.id, limit, this.#time.now);
		}
	}

	#start(name: string, isFirst: boolean): Pick<Member, 'process' | 'limits'> {
		const process = new VirtualProcess(this.#time);
		const limits = new TargetRateLimits({
			fleet: () => this.#links.fleetOf(name),
			gatewayCount: () => this.#links.reachedBy(name),
			send: (peer, message) => {
				this.#links.send(name, peer, message);
			},
			broadcast: message => {
				this.#links.broadcast(name, message);
			},
			onPermits: () => undefined,
			log: {info: () => undefined} as unknown as Logger,
			metrics: new EntryMetrics(),
			now: () => this.#time.now,
			timers: {after: process.after},
		});
		this.#links.add(name, {
			receive(peer, message) {
				process.run(() => {
					if (message.kind === 'rate limit' || message.kind === 'permit ask' || message.kind === 'permits') {
						limits.receive(peer, message);
					}
				});
			},
			onLinked(peer) {
				limits.sendTo(peer);
			},
			onLost(peer) {
				limits.removePeer(peer);
			},
		}, {isLinked: isFirst, hasReports: this.#options.hasTroubles, knows: this.#members.slice(0, 3).map(member => member.name)});
		const targets = new Map(this.#targets.map(({record}) => [record.incarnation, record]));
		const maintain = (): void => {
			process.after(maintenanceMilliseconds, () => {
				limits.keepOnly(targets);
				maintain();
			});
		};

		maintain();
		return {process, limits};
	}

	/** Requests come at random, to each gateway by its weight. */
	#nextRequest(): void {
		const {load} = this.#options;
		this.#time.after(-Math.log(1 - this.#chance.random()) * 1000 / load, () => {
			this.#nextRequest();
			let left = this.#chance.random() * this.#members.reduce((sum, {weight}) => sum + weight, 0);
			const member = this.#members.find(({weight}) => {
				left -= weight;
				return left <= 0;
			}) ?? this.#members[0]!;
			const {process, limits} = member;
			process.run(() => {
				this.#serve(member.name, process, limits);
			});
		});
	}

	/** Chooses among the targets that may take the request, as the routers do; waits once for permits when there is none. */
	#serve(gateway: string, process: VirtualProcess, limits: TargetRateLimits): void {
		this.requests++;
		limits.want(this.#targets.map(({record}) => record.incarnation));
		if (!this.#trySend(gateway, process, limits)) {
			limits.waitForPermits(() => {
				this.refused += this.#trySend(gateway, process, limits) ? 0 : 1;
			});
		}
	}

	#trySend(gateway: string, process: VirtualProcess, limits: TargetRateLimits): boolean {
		const candidates = this.#targets.filter(({record}) => limits.permits(record.incarnation) !== 0);
		if (candidates.length === 0) {
			return false;
		}

		const target = this.#chance.pick(candidates);
		if (!limits.tryTake(target.record.incarnation)) {
			return false;
		}

		const sentAt = this.#time.now;
		this.#time.after(1 + (this.#chance.random() * 2), () => {
			this.#arrive(target, gateway);
			this.#time.after(this.#chance.between(answerMilliseconds.least, answerMilliseconds.most), () => {
				const named: NamedRateLimit = target.limit === undefined ? {kind: 'none'} : {kind: 'named', requestsPerSecond: target.limit};
				process.run(() => {
					limits.record(target.record, named, sentAt);
					this.judge.told(target.record.id, gateway, this.#time.now);
				});
			});
		});
		return true;
	}

	#arrive(target: Target, gateway: string): void {
		target.taken += target.limit === undefined ? 0 : 1;
		target.takenSinceEnd += target.limit === undefined ? 1 : 0;
		this.judge.arrive(target.record.id, gateway, this.#time.now);
	}

	#nextTrouble(): void {
		this.#time.after(this.#chance.between(troubleMilliseconds.least, troubleMilliseconds.most), () => {
			this.#nextTrouble();
			const member = this.#chance.pick(this.#members);
			const milliseconds = this.#chance.between(300, 5000);
			const deed = this.#chance.pick(['cut', 'freeze', 'kill', 'split'] as const);
			this.deeds.push(`${Math.round(this.#time.now)} ${deed} ${member.name} ${Math.round(milliseconds)}`);
			switch (deed) {
				case 'cut': {
					this.#isolate([member], milliseconds);
					return;
				}

				case 'split': {
					this.#isolate(this.#members.slice(0, Math.ceil(this.#members.length / 2)), milliseconds * splitFactor);
					return;
				}

				case 'freeze': {
					this.#freeze(member, milliseconds);
					return;
				}

				case 'kill': {
					this.#restart(member, milliseconds);
				}
			}
		});
	}

	/** The cut of one machine excuses it; the halves of a divided fleet are not excused. */
	#isolate(members: readonly Member[], milliseconds: number): void {
		const group = this.#time.now;
		const excuse = (): void => {
			for (const {name} of members.length === 1 ? members : []) {
				this.judge.excuse(name);
			}
		};

		excuse();
		for (const {name} of members) {
			this.#links.change(name, {group});
		}

		this.#time.after(milliseconds, () => {
			excuse();
			for (const {name} of members) {
				this.#links.change(name, {group: 0});
			}
		});
	}

	#freeze(member: Member, milliseconds: number): void {
		const {process, name} = member;
		this.judge.excuse(name);
		process.frozenUntil = this.#time.now + milliseconds;
		this.#links.change(name, {isAway: true});
		this.#time.after(milliseconds, () => {
			this.judge.excuse(name);
			this.#links.change(name, {isAway: false});
		});
	}

	#restart(member: Member, milliseconds: number): void {
		const {process, name} = member;
		if (process.frozenUntil > this.#time.now) {
			return;
		}

		this.judge.excuse(name);
		process.kill();
		this.#links.remove(name);
		const away = milliseconds / 3;
		Object.assign(member, this.#start(name, false));
		this.#links.change(name, {isAway: true});
		member.process.frozenUntil = this.#time.now + away;
		this.#time.after(away, () => {
			this.judge.excuse(name);
			this.#links.change(name, {isAway: false});
		});
	}
}
