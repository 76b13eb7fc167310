/**
One seeded day of a large fleet in virtual time: gateways, the store, and targets
that come, leave, and end, under faults that overlap.

It asks at every moment whether a target whose leaving the store acknowledged
could still be sent work, and whether living targets can, also while their entries
have lapsed as the store was away.
*/
import type {TargetRecord} from '../../source/fleet/target-record.js';
import type {JudgedTarget} from './judged-target.js';
import {SeededChance} from './seeded-chance.js';
import {VirtualGateway} from './virtual-gateway.js';
import {VirtualJudge} from './virtual-judge.js';
import {VirtualLinks} from './virtual-links.js';
import {VirtualStore} from './virtual-store.js';
import {VirtualTime} from './virtual-time.js';

type Member = {
	gateway: VirtualGateway;
	/** Until when a fault of its own lasts, and the time after it that rules allow. */
	disturbedUntil: number;
	incarnation: number;
	isRemoved: boolean;
};

type DayOptions = {
	readonly seed: number;
	readonly gateways: number;
	readonly targets: number;
	/** Time after the store's word from which on a leaving target may get nothing. */
	readonly drainMilliseconds: number;
	/** How often the store comes back from an older copy; never when left out. */
	readonly restores?: number;
};

/** Time after a disturbance for which the rules allow a gateway more. */
const contactMilliseconds = 4000;
const dayMilliseconds = 32_000;
const quietMilliseconds = 4500;
const lookMilliseconds = 50;
const beatMilliseconds = 1200;
const heartbeatsToLapse = 3;
const copyMilliseconds = 1000;
/** Age of the copy that the store comes back from, at most. */
const maxCopyAgeMilliseconds = 6000;
/** Time within which replicas write again what the store has lost. */
const rewriteMilliseconds = 1900;

/**
Plays one day; `violations` holds what broke, each pair of gateway and target once.

@example
```
const day = new VirtualDay({seed: 7, gateways: 10, targets: 12, drainMilliseconds: 3000});
await day.run();
```
*/
export class VirtualDay {
	/** What was done to the fleet, in order. */
	readonly deeds: string[] = [];
	readonly #chance: SeededChance;
	readonly #time = new VirtualTime();
	readonly #store = new VirtualStore(this.#time);
	readonly #links = new VirtualLinks(this.#time);
	readonly #members: Member[];
	readonly #targets = new Map<string, JudgedTarget>();
	readonly #judge: VirtualJudge;
	#number = 0;
	/** Draws what concerns restores, so that days without any play as they do without it. */
	readonly #restoreChance: SeededChance;
	readonly #restores: number;
	readonly #copies: Array<{readonly at: number; readonly copy: ReturnType<VirtualStore['copy']>}> = [];

	constructor({seed, gateways, targets, drainMilliseconds, restores = 0}: DayOptions) {
		this.#restoreChance = new SeededChance(seed + 1_000_000);
		this.#restores = restores;
		this.#judge = new VirtualJudge({time: this.#time, targets: this.#targets, drainMilliseconds});
		this.#chance = new SeededChance(seed);
		for (let index = 0; index < targets; index++) {
			this.#addTarget();
		}

		this.#members = Array.from({length: gateways}, (_, index) => ({
			gateway: this.#startGateway(`gateway-${index}`, 1), disturbedUntil: quietMilliseconds, incarnation: 1, isRemoved: false,
		}));
	}

	/** What broke, each pair of gateway and target once. */
	get violations(): VirtualJudge['violations'] {
		return this.#judge.violations;
	}

	/** What the gateways wrote. */
	get lines(): readonly string[] {
		return this.#members.flatMap(({gateway}) => gateway.lines);
	}

	async run(): Promise<void> {
		const troubles = 3 + this.#chance.whole(4);
		for (let index = 0; index < troubles; index++) {
			this.#time.after(this.#chance.between(quietMilliseconds, dayMilliseconds - 12_000), () => {
				this.#trouble();
			});
		}

		for (let index = 0; index < 6; index++) {
			this.#time.after(this.#chance.between(quietMilliseconds, dayMilliseconds - 6000), () => {
				this.#changeTarget();
			});
		}

		this.#planRestores();
		this.#time.every(lookMilliseconds, () => {
			for (const {gateway, disturbedUntil, isRemoved} of this.#members) {
				if (!isRemoved && disturbedUntil <= this.#time.now && gateway.frozenUntil <= this.#time.now) {
					this.#judge.look(gateway);
				}
			}
		});
		await this.#time.run(dayMilliseconds);
		for (const {gateway} of this.#members) {
			gateway.kill();
		}
	}

	#startGateway(name: string, incarnation: number): VirtualGateway {
		return new VirtualGateway({
			name, incarnation, time: this.#time, store: this.#store, links: this.#links, random: this.#chance.random,
		});
	}

	get #present(): readonly Member[] {
		return this.#members.filter(({isRemoved}) => !isRemoved);
	}

	#note(deed: string): void {
		this.deeds.push(`${Math.round(this.#time.now)} ${deed}`);
	}

	/** Sets a fault of some gateways and clears it again; targets may leave as it ends. */
	#disturb(members: readonly Member[], milliseconds: number, set: (member: Member) => void, clear: (member: Member) => void, isExcuse = true): void {
		for (const member of members) {
			set(member);
			if (isExcuse) {
				member.disturbedUntil = Math.max(member.disturbedUntil, this.#time.now + milliseconds + contactMilliseconds);
			}
		}

		this.#time.after(milliseconds, () => {
			for (const member of members) {
				clear(member);
			}
		});
		if (this.#chance.random() < 0.7) {
			this.#time.after(milliseconds + this.#chance.between(-1200, 900), () => {
				this.#changeTarget();
			});
		}
	}

	#trouble(): void {
		const kind = this.#chance.pick(['turned away', 'turned away', 'frozen', 'frozen', 'slow link', 'slow link', 'cut', 'cut from store', 'kill', 'roll', 'store slow', 'store away', 'busy'] as const);
		const members = this.#chance.some(this.#present, this.#chance.pick([0.05, 0.1, 0.35]));
		const milliseconds = this.#chance.between(500, 7000);
		this.#note(`${kind} ${members.map(({gateway}) => gateway.name).join(',')} for ${Math.round(milliseconds)}`);
		switch (kind) {
			case 'turned away':
			case 'cut from store': {
				const fault = kind === 'turned away' ? this.#chance.pick(['busy', 'silent'] as const) : 'silent';
				this.#disturb(members, milliseconds, ({gateway}) => {
					gateway.storeFault = fault;
				}, ({gateway}) => {
					gateway.storeFault = 'none';
				}, false);
				return;
			}

			case 'frozen': {
				const length = this.#chance.between(300, 4000);
				const isSuspended = this.#chance.random() < 0.5;
				this.#disturb(members, length, ({gateway}) => {
					gateway.freeze(length, isSuspended);
				}, () => undefined);
				return;
			}

			case 'busy': {
				// A loop that is busy for a moment is no fault that the rules know.
				for (const {gateway} of members) {
					gateway.freeze(this.#chance.between(50, 900), false);
				}

				return;
			}

			case 'slow link': {
				const delay = this.#chance.between(300, 2500);
				this.#disturb(members, milliseconds, ({gateway}) => {
					gateway.delayMilliseconds = delay;
				}, ({gateway}) => {
					gateway.delayMilliseconds = 0;
				});
				return;
			}

			case 'cut': {
				this.#disturb(members, milliseconds, ({gateway}) => {
					gateway.cutUntil = this.#time.now + milliseconds;
				}, () => undefined);
				return;
			}

			case 'kill': {
				for (const member of members) {
					this.#restart(member, this.#chance.between(200, 1500));
				}

				return;
			}

			case 'roll': {
				for (const [index, member] of this.#chance.some(this.#present, 0.4).entries()) {
					this.#time.after(index * 1000, () => {
						this.#restart(member, this.#chance.between(200, 600));
					});
				}

				return;
			}

			case 'store slow': {
				this.#disturbStore(milliseconds, () => {
					this.#store.slowMilliseconds = this.#chance.between(100, 900);
				}, () => {
					this.#store.slowMilliseconds = 0;
				});
				return;
			}

			case 'store away': {
				this.#storeAway(milliseconds);
			}
		}
	}

	#disturbStore(milliseconds: number, set: () => void, clear: () => void): void {
		this.#judge.storeDisturbed(milliseconds + contactMilliseconds);
		set();
		this.#time.after(milliseconds, clear);
	}

	/** The store answers nobody, and entries that are not renewed meanwhile lapse. */
	#storeAway(milliseconds: number): void {
		const hasLapses = milliseconds > beatMilliseconds * heartbeatsToLapse;
		if (hasLapses) {
			this.#judge.storeAway(milliseconds);
		}

		this.#store.awayUntil = Math.max(this.#store.awayUntil, this.#time.now + milliseconds);
		this.#disturbStore(milliseconds, () => undefined, () => {
			if (hasLapses) {
				this.#lapse();
			}
		});
	}

	#lapse(): void {
		const lapsed = [...this.#targets.values()].filter(({leftAt}) => leftAt === Number.POSITIVE_INFINITY && this.#chance.random() < 0.7);
		for (const target of lapsed) {
			this.#store.remove(target.record.id);
			target.isListed = false;
			this.#time.after(this.#chance.between(0, 1900), () => {
				if (target.leftAt === Number.POSITIVE_INFINITY) {
					this.#store.put(target.record);
					target.listedSince = this.#time.now;
					target.isListed = true;
				}
			});
		}
	}

	#planRestores(): void {
		if (this.#restores === 0) {
			return;
		}

		this.#time.every(copyMilliseconds, () => {
			this.#copies.push({at: this.#time.now, copy: this.#store.copy()});
		});
		for (let index = 0; index < this.#restores; index++) {
			this.#time.after(this.#restoreChance.between(quietMilliseconds + maxCopyAgeMilliseconds, dayMilliseconds - 9000), () => {
				this.#restoreStore();
			});
		}
	}

	/** The store is away for a moment and comes back from a copy; live targets write their entries again, entries of dead ones lapse. */
	#restoreStore(): void {
		const away = this.#restoreChance.between(100, 1500);
		const copy = this.#restoreChance.pick(this.#copies.filter(({at}) => this.#time.now - at < maxCopyAgeMilliseconds));
		this.#note(`store restored from a copy of ${Math.round(copy.at)} after ${Math.round(away)}`);
		this.#store.awayUntil = Math.max(this.#store.awayUntil, this.#time.now + away);
		this.#judge.storeAway(away);
		this.#judge.storeDisturbed(away + contactMilliseconds);
		this.#time.after(away, () => {
			this.#store.restore(copy.copy);
			const {era} = this.#store;
			for (const target of this.#targets.values()) {
				target.acknowledgedAt = Number.POSITIVE_INFINITY;
				target.isListed = this.#store.targets.has(target.record.id);
				this.#writeAgain(target, era);
			}
		});
	}

	/** What one target writes after the store came back, unless it comes back once more before that. */
	#writeAgain(target: JudgedTarget, era: number): void {
		const {record} = target;
		const hasLeft = target.leftAt !== Number.POSITIVE_INFINITY;
		const delay = hasLeft ? beatMilliseconds * heartbeatsToLapse : this.#restoreChance.between(0, rewriteMilliseconds);
		this.#time.after(delay, () => {
			if (this.#store.era !== era) {
				return;
			}

			if (hasLeft) {
				this.#store.remove(record.id);
				target.acknowledgedAt = this.#time.now;
			} else if (target.leftAt === Number.POSITIVE_INFINITY) {
				this.#store.put(record);
				target.listedSince = target.isListed ? target.listedSince : this.#time.now;
				target.isListed = true;
			}
		});
	}

	#restart(member: Member, milliseconds: number): void {
		if (member.isRemoved) {
			return;
		}

		const {gateway} = member;
		gateway.kill();
		member.disturbedUntil = Math.max(member.disturbedUntil, this.#time.now + milliseconds + contactMilliseconds);
		member.isRemoved = true;
		this.#time.after(milliseconds, () => {
			member.incarnation++;
			member.isRemoved = false;
			const former = member.gateway;
			member.gateway = this.#startGateway(former.name, member.incarnation);
			member.gateway.lines.push(...former.lines, JSON.stringify({at: Math.round(this.#time.now), process: former.name, event: 'restarted'}));
			member.gateway.storeFault = former.storeFault;
		});
	}

	#addTarget(): void {
		this.#number++;
		const id = `target-${this.#number}`;
		const record: TargetRecord = {
			id, incarnation: `${id} 1`, bornAt: 1, service: 's', address: `10.1.0.${this.#number}:80`, availabilityZone: 'a', isDraining: false, slots: 8, role: 'decode',
		};
		this.#store.put(record);
		this.#targets.set(id, {
			record, firstListedAt: this.#time.now, leftAt: Number.POSITIVE_INFINITY, acknowledgedAt: Number.POSITIVE_INFINITY, listedSince: this.#time.now, isListed: true,
		});
	}

	#changeTarget(): void {
		const living = [...this.#targets.values()].filter(({leftAt}) => leftAt === Number.POSITIVE_INFINITY);
		const target = this.#chance.pick(living);
		const kind = this.#chance.pick(['removed', 'removed', 'drains', 'appears'] as const);
		if (kind === 'appears' || living.length < 4) {
			this.#addTarget();
			this.#note('target appears');
			return;
		}

		this.#note(`${kind} ${target.record.id}`);
		target.leftAt = this.#time.now;
		if (this.#restores > 0 && this.#store.awayUntil > this.#time.now) {
			// The store does not take its word; the entry lapses after the store's return.
			this.#time.after(this.#store.awayUntil - this.#time.now, () => {
				this.#writeAgain(target, this.#store.era);
			});
			return;
		}

		target.acknowledgedAt = this.#time.now;
		if (kind === 'removed') {
			this.#store.remove(target.record.id);
			return;
		}

		this.#store.put({...target.record, isDraining: true});
		this.#time.after(this.#chance.between(1000, 6000), () => {
			this.#store.remove(target.record.id);
		});
	}
}
