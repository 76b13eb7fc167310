/**
Holds what gateways believe in virtual time against what is true.
*/
import type {JudgedTarget} from './judged-target.js';
import type {VirtualGateway} from './virtual-gateway.js';
import type {VirtualTime} from './virtual-time.js';

type Violation = {
	readonly kind: 'used after leaving' | 'used again after leaving' | 'living and not used' | 'dropped with the store' | 'not known after a restart';
	readonly at: number;
	readonly gateway: string;
	readonly reader: string;
	readonly target: string;
	/** Since when the target leaves or is listed, or the store is away. */
	readonly since: number;
};

type JudgeOptions = {
	readonly time: VirtualTime;
	readonly targets: ReadonlyMap<string, JudgedTarget>;
	/** Time after the store's word from which on a leaving target may get nothing. */
	readonly drainMilliseconds: number;
};

/** Time within which a listed target has to be used. */
const appearMilliseconds = 4000;
/** Time after the store's return for which lapsed targets that live stay usable. */
const returnMilliseconds = 4000;

/**
Each pair of gateway and target counts once a kind.

@example
```
judge.look(gateway);
t.strictSame(judge.violations, []);
```
*/
export class VirtualJudge {
	readonly violations: Violation[] = [];
	#storeDisturbedUntil = 0;
	/** The last absence of the store that was long enough for entries to lapse, and the time after it. */
	#away = {from: 0, until: 0};
	readonly #options: JudgeOptions;
	readonly #seen = new Set<string>();
	/** By gateway process and target: targets that the process has used, and of these the leaving ones that it has ceased to use. */
	readonly #used = new Set<string>();
	readonly #ceased = new Set<string>();

	constructor(options: JudgeOptions) {
		this.#options = options;
	}

	/** Holds nobody to the bounds that need a calm store for so long. */
	storeDisturbed(milliseconds: number): void {
		this.#storeDisturbedUntil = Math.max(this.#storeDisturbedUntil, this.#options.time.now + milliseconds);
	}

	storeAway(milliseconds: number): void {
		const {now} = this.#options.time;
		const {from, until} = this.#away;
		this.#away = {from: now < until ? from : now, until: Math.max(until, now + milliseconds + returnMilliseconds)};
	}

	/** Judges a gateway that no fault of its own excuses. */
	look(gateway: VirtualGateway): void {
		const {time: {now}, targets} = this.#options;
		const usable = new Set(gateway.beliefs.usable('s').map(({id}) => id));
		for (const target of targets.values()) {
			const isUsable = usable.has(target.record.id);
			this.#judgeAgain(gateway, target, isUsable);
			if (now < this.#away.until) {
				this.#judgeAway(gateway, target, isUsable);
			}

			if (now >= this.#storeDisturbedUntil) {
				this.#judgeCalm(gateway, target, isUsable);
			}
		}
	}

	/** A process that knew that a target had left never uses it again, whatever happens to the store. */
	#judgeAgain(gateway: VirtualGateway, {record, leftAt}: JudgedTarget, isUsable: boolean): void {
		const {time: {now}} = this.#options;
		const key = `${gateway.name} ${gateway.startedAt} ${record.id}`;
		if (leftAt > now) {
			if (isUsable) {
				this.#used.add(key);
			}
		} else if (!isUsable && this.#used.has(key)) {
			this.#ceased.add(key);
		} else if (this.#ceased.has(key)) {
			this.#record('used again after leaving', gateway, record.id, leftAt);
		}
	}

	/** Targets that were listed before the store went away, and live, stay usable until it is surely back. */
	#judgeAway(gateway: VirtualGateway, {record, firstListedAt, leftAt}: JudgedTarget, isUsable: boolean): void {
		const {from} = this.#away;
		if (!isUsable && leftAt === Number.POSITIVE_INFINITY && firstListedAt < from - appearMilliseconds) {
			this.#record(gateway.startedAt > from ? 'not known after a restart' : 'dropped with the store', gateway, record.id, from);
		}
	}

	#judgeCalm(gateway: VirtualGateway, {record, leftAt, acknowledgedAt, listedSince, isListed}: JudgedTarget, isUsable: boolean): void {
		const {time: {now}, drainMilliseconds} = this.#options;
		if (isUsable && now - acknowledgedAt > drainMilliseconds) {
			this.#record('used after leaving', gateway, record.id, acknowledgedAt);
		}

		if (!isUsable && leftAt === Number.POSITIVE_INFINITY && isListed && now - listedSince > appearMilliseconds) {
			this.#record('living and not used', gateway, record.id, listedSince);
		}
	}

	#record(kind: Violation['kind'], gateway: VirtualGateway, target: string, since: number): void {
		const key = `${kind} ${gateway.name} ${target}`;
		if (!this.#seen.has(key)) {
			this.#seen.add(key);
			this.violations.push({
				kind, at: Math.round(this.#options.time.now), gateway: gateway.name, reader: gateway.reader, target, since: Math.round(since),
			});
		}
	}
}
