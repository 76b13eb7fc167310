/**
A day in virtual time on which engines crash: because of a part of prompts, of themselves, or both,
while gateways are cut off, frozen, killed and started again.
*/
import {CrashMonitor} from '../../source/entry/crash-monitor.js';
import type {TargetRecord} from '../../source/fleet/target-record.js';
import {CrashJudge} from './crash-judge.js';
import {SeededChance} from './seeded-chance.js';
import {VirtualGateway} from './virtual-gateway.js';
import {VirtualLinks} from './virtual-links.js';
import {VirtualStore} from './virtual-store.js';
import {VirtualTime} from './virtual-time.js';

type Run = {readonly member: Member; readonly requestId: string; readonly parts: readonly string[]; isEnded: boolean};

type Engine = {record: TargetRecord; isUp: boolean; readonly runs: Set<Run>};

type Member = {gateway: VirtualGateway; monitor: CrashMonitor; incarnation: number; isUp: boolean; disturbedUntil: number};

type DayOptions = {
	readonly seed: number;
	readonly gateways: number;
	/** Whether a part of prompts crashes engines. */
	readonly isTainted: boolean;
	/** Whether all gateways are killed at once in the middle of the day. */
	readonly isHerdKilled?: boolean;
};

const dayMilliseconds = 40_000;
const contactMilliseconds = 3000;
const crashingPart = 'crashing';
const firstParts = 6;
const secondParts = 24;
const wayMilliseconds = 1;
const maxAttempts = 2;

/**
One day, drawn from its seed.

@example
```
const day = new VirtualCrashDay({seed: 7, gateways: 5, isTainted: true});
await day.run();
day.judge.violations;
```
*/
export class VirtualCrashDay {
	readonly judge = new CrashJudge();
	readonly #options: DayOptions;
	readonly #chance: SeededChance;
	readonly #time = new VirtualTime();
	readonly #store = new VirtualStore(this.#time);
	readonly #links = new VirtualLinks(this.#time);
	readonly #engines: Engine[];
	readonly #members: Member[];
	readonly #isResumable: boolean;
	readonly #crashingFirst: string;
	#requests = 0;

	constructor(options: DayOptions) {
		this.#options = options;
		this.#chance = new SeededChance(options.seed);
		this.#isResumable = this.#chance.random() < 0.5;
		this.#crashingFirst = `first-${this.#chance.whole(firstParts)}`;
		this.#engines = Array.from({length: 5 + this.#chance.whole(8)}, (_, index) => ({record: this.#record(index, 1), isUp: true, runs: new Set<Run>()}));
		this.#members = Array.from({length: options.gateways}, (_, index) => this.#startMember(`gateway-${index}`, 1));
	}

	/** What the gateways wrote. */
	get lines(): readonly string[] {
		return this.#members.flatMap(({gateway}) => gateway.lines);
	}

	async run(): Promise<void> {
		const {isTainted, isHerdKilled = false} = this.#options;
		this.#every(1000 / this.#chance.between(25, 60), 0, dayMilliseconds, () => {
			this.#arriveSound();
		});
		if (isTainted) {
			this.#every(1000 / this.#chance.between(0.5, 3), 6000, 34_000, () => {
				this.#arriveCrashing();
			});
		}

		this.#every(this.#chance.between(2500, 9000), 3000, dayMilliseconds, () => {
			this.#crashSome(isTainted ? 0.01 : this.#chance.pick([0.01, 0.01, 0.4, 1]));
		});
		this.#every(this.#chance.between(4000, 9000), 5000, 32_000, () => {
			this.#trouble();
		});
		if (isHerdKilled) {
			this.#time.after(this.#chance.between(14_000, 22_000), () => {
				this.#kill(this.#members);
			});
		}

		await this.#time.run(dayMilliseconds);
		for (const {gateway} of this.#members) {
			gateway.kill();
		}
	}

	/** Acts again and again between two times, at random distances. */
	#every(meanMilliseconds: number, from: number, until: number, act: () => void): void {
		this.#time.after(from + (this.#chance.between(0, 2) * meanMilliseconds), () => {
			if (this.#time.now < until) {
				act();
				this.#every(meanMilliseconds, this.#chance.random(), until, act);
			}
		});
	}

	#record(index: number, incarnation: number): TargetRecord {
		const id = `engine-${index}`;
		return {
			id, incarnation: `${id} ${incarnation}`, bornAt: incarnation, service: 's', address: id, availabilityZone: 'a', isDraining: false, slots: 64, role: 'decode',
		};
	}

	#startMember(name: string, incarnation: number): Member {
		const gateway = new VirtualGateway({
			name, incarnation, time: this.#time, store: this.#store, links: this.#links, random: this.#chance.random,
		});
		const monitor = new CrashMonitor({
			probe: async address => this.#engines.some(({record, isUp}) => record.address === address && isUp) ? 'open' : 'refused',
			isUsable: () => true,
			onLost(loss) {
				gateway.run(() => {
					gateway.quarantine.recordLoss(loss);
				});
			},
			now: () => this.#time.now,
			timers: this.#time,
		});
		return {
			gateway, monitor, incarnation, isUp: true, disturbedUntil: this.#time.now + contactMilliseconds,
		};
	}

	#isInTouch({gateway, isUp, disturbedUntil}: Member): boolean {
		return isUp && disturbedUntil <= this.#time.now && gateway.frozenUntil <= this.#time.now;
	}

	#arriveSound(): void {
		// The first of the parts are the popular ones.
		const first = `first-${Math.floor(firstParts * (this.#chance.random() ** 2))}`;
		const second = `second-${Math.floor(secondParts * (this.#chance.random() ** 2))}`;
		this.#take([first, second], this.#chance.between(150, 2500));
	}

	#arriveCrashing(): void {
		this.judge.recordCrashingArrival(this.#time.now);
		this.#take(this.#chance.random() < 0.7 ? [this.#crashingFirst, crashingPart] : [this.#crashingFirst, `second-${this.#chance.whole(secondParts)}`, crashingPart], 0);
	}

	#take(parts: readonly string[], runMilliseconds: number): void {
		const member = this.#chance.pick(this.#members);
		this.#requests++;
		const requestId = `r${this.#requests}`;
		const isInTouch = this.#isInTouch(member);
		if (!member.isUp) {
			return;
		}

		member.gateway.run(() => {
			const isHeld = member.gateway.quarantine.check(requestId, parts) !== undefined;
			if (isInTouch && !parts.includes(crashingPart)) {
				this.judge.recordSound({at: this.#time.now, isHeld, hasCrashingFirstPart: parts[0] === this.#crashingFirst});
			}

			if (!isHeld) {
				this.#prefill(member, requestId, parts, runMilliseconds);
			}
		});
	}

	/** Half of the prompts are prefilled elsewhere first. */
	#prefill(member: Member, requestId: string, parts: readonly string[], runMilliseconds: number): void {
		const milliseconds = this.#chance.random() < 0.5 ? this.#chance.between(30, 450) : 0;
		if (milliseconds > 0) {
			this.#recordReach(member, requestId, parts);
		}

		this.#time.after(milliseconds, () => {
			this.#send(member, requestId, parts, runMilliseconds, 1);
		});
	}

	#recordReach(member: Member, requestId: string, parts: readonly string[]): void {
		if (parts.includes(crashingPart)) {
			this.judge.recordSent(requestId, this.#time.now, this.#isInTouch(member));
		}
	}

	#send(member: Member, requestId: string, parts: readonly string[], runMilliseconds: number, attempt: number): void {
		const {gateway} = member;
		gateway.run(() => {
			const up = this.#engines.filter(({isUp}) => isUp);
			if (gateway.quarantine.check(requestId, parts) !== undefined || up.length === 0) {
				return;
			}

			const engine = this.#chance.pick(up);
			const run: Run = {
				member: {...member}, requestId, parts, isEnded: false,
			};
			this.#recordReach(member, requestId, parts);
			this.#time.after(wayMilliseconds, () => {
				this.#begin(engine, run, runMilliseconds, () => {
					if (this.#isResumable && attempt < maxAttempts) {
						this.#send(member, requestId, parts, runMilliseconds, attempt + 1);
					}
				});
			});
		});
	}

	#begin(engine: Engine, run: Run, runMilliseconds: number, onLost: () => void): void {
		if (!engine.isUp) {
			return;
		}

		engine.runs.add(run);
		if (run.parts.includes(crashingPart)) {
			this.#time.after(this.#chance.between(30, 150), () => {
				if (!run.isEnded) {
					this.judge.recordCrash(this.#time.now);
					this.#crash(engine);
					onLost();
				}
			});
			return;
		}

		this.#time.after(runMilliseconds, () => {
			if (!run.isEnded) {
				run.isEnded = true;
				engine.runs.delete(run);
				run.member.gateway.run(() => {
					run.member.gateway.quarantine.recordAnswered(run.parts);
				});
			}
		});
	}

	#crash(engine: Engine): void {
		const {record} = engine;
		engine.isUp = false;
		for (const run of engine.runs) {
			run.isEnded = true;
			run.member.gateway.run(() => {
				run.member.monitor.recordLost(record, {requestId: run.requestId, parts: run.parts});
			});
		}

		engine.runs.clear();
		this.#time.after(this.#chance.between(1500, 6000), () => {
			engine.record = this.#record(this.#engines.indexOf(engine), record.bornAt + 1);
			engine.isUp = true;
		});
	}

	#crashSome(share: number): void {
		for (const engine of this.#chance.some(this.#engines, share).filter(({isUp}) => isUp)) {
			this.#crash(engine);
		}
	}

	#trouble(): void {
		const kind = this.#chance.pick(['cut', 'frozen', 'slow link', 'kill', 'store away'] as const);
		const members = this.#chance.some(this.#members.filter(({isUp}) => isUp), 0.3);
		const milliseconds = this.#chance.between(500, 6000);
		for (const member of members) {
			member.disturbedUntil = Math.max(member.disturbedUntil, this.#time.now + milliseconds + contactMilliseconds);
		}

		switch (kind) {
			case 'cut': {
				for (const {gateway} of members) {
					gateway.cutUntil = this.#time.now + milliseconds;
				}

				return;
			}

			case 'frozen': {
				for (const {gateway} of members) {
					gateway.freeze(milliseconds, this.#chance.random() < 0.5);
				}

				return;
			}

			case 'slow link': {
				this.#slowLinks(members, milliseconds);
				return;
			}

			case 'kill': {
				this.#kill(members);
				return;
			}

			case 'store away': {
				this.#store.awayUntil = Math.max(this.#store.awayUntil, this.#time.now + milliseconds);
			}
		}
	}

	#slowLinks(members: readonly Member[], milliseconds: number): void {
		for (const {gateway} of members) {
			gateway.delayMilliseconds = this.#chance.between(200, 1500);
			this.#time.after(milliseconds, () => {
				gateway.delayMilliseconds = 0;
			});
		}
	}

	#kill(members: readonly Member[]): void {
		for (const member of members.filter(({isUp}) => isUp)) {
			member.gateway.kill();
			member.isUp = false;
			this.#time.after(this.#chance.between(200, 1500), () => {
				Object.assign(member, this.#startMember(member.gateway.name, member.incarnation + 1));
			});
		}
	}
}
