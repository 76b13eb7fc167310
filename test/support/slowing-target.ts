/**
A target of a plain service, in virtual time, that has a speed of its own and slows down beyond
a number of calls.
*/
import type {VirtualTime} from './virtual-time.js';

type SlowingTargetOptions = {
	readonly time: VirtualTime;
	/** How many milliseconds of work it does in a millisecond for each call, while few run. */
	readonly speed: number;
	readonly slots: number;
	/** Calls at once up to which none slows down. */
	readonly knee: number;
	readonly random: () => number;
	/** Share of the time in which it is slowed down by `slowdown`, for parts of a second. */
	readonly slowShare: number;
	readonly slowdown: number;
};

type Call = {remaining: number; readonly settle: () => void};

/** How fast total throughput falls beyond the knee: the rate of each call is (knee / running) to this power. */
const overloadPower = 1.3;
const slowPhaseMilliseconds = 300;

/**
Shares its processor among the calls that run, and lets others wait for a slot.

@example
```
const target = new SlowingTarget({time, speed: 0.6, slots: 16, knee: 5, random, slowShare: 0.15, slowdown: 2.5});
target.take(40, () => answered());
```
*/
export class SlowingTarget {
	readonly #options: SlowingTargetOptions;
	#speed: number;
	#slowdown = 1;
	#running: Call[] = [];
	readonly #waiting: Call[] = [];
	#advancedAt = 0;
	#cancelNext: (() => void) | undefined;

	constructor(options: SlowingTargetOptions) {
		this.#options = options;
		this.#speed = options.speed;
		if (options.slowShare > 0) {
			this.#startPhase();
		}
	}

	/** The load as the target reports it. */
	get load(): {readonly running: number; readonly waiting: number; readonly slots: number; readonly slowdown: number} {
		return {
			running: this.#running.length, waiting: this.#waiting.length, slots: this.#options.slots, slowdown: this.#slowdown,
		};
	}

	setSpeed(speed: number): void {
		this.#advance();
		this.#speed = speed;
		this.#schedule();
	}

	/** Runs a call of so many milliseconds of work at speed 1. */
	take(work: number, settle: () => void): void {
		this.#advance();
		this.#waiting.push({remaining: work, settle});
		this.#schedule();
	}

	get #rate(): number {
		const {knee} = this.#options;
		const shared = this.#running.length <= knee ? 1 : (knee / this.#running.length) ** overloadPower;
		return this.#speed / this.#slowdown * shared;
	}

	#startPhase(): void {
		const {random, slowShare, slowdown, time} = this.#options;
		this.#advance();
		this.#slowdown = random() < slowShare ? slowdown : 1;
		this.#schedule();
		time.after(slowPhaseMilliseconds * (0.5 + random()), () => {
			this.#startPhase();
		});
	}

	#advance(): void {
		const {now} = this.#options.time;
		const done = (now - this.#advancedAt) * this.#rate;
		this.#advancedAt = now;
		for (const call of this.#running) {
			call.remaining -= done;
		}
	}

	#schedule(): void {
		this.#running.push(...this.#waiting.splice(0, Math.max(0, this.#options.slots - this.#running.length)));
		this.#cancelNext?.();
		if (this.#running.length === 0) {
			return;
		}

		const next = Math.min(...this.#running.map(({remaining}) => remaining));
		this.#cancelNext = this.#options.time.after(Math.max(0, next / this.#rate), () => {
			this.#finish();
		});
	}

	#finish(): void {
		this.#advance();
		const [finished, running] = [this.#running.filter(({remaining}) => remaining <= 1e-6), this.#running.filter(({remaining}) => remaining > 1e-6)];
		this.#running = running;
		this.#schedule();
		for (const {settle} of finished) {
			settle();
		}
	}
}
