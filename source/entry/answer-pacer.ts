/**
Pauses the reading of answers that take more than their share of the event loop's time, and resumes it.
*/
import {ReadingShare} from '../decisions/entry/answers/reading-share.js';
import type {Timers} from '../shared/timers.js';
import type {EntryMetrics} from './entry-metrics.js';
import type {LoopActivity} from './loop-activity.js';
import type {ReadingGate} from './reading-gate.js';

type PacerOptions = {
	readonly now: () => number;
	readonly timers: Timers;
	readonly metrics: Pick<EntryMetrics, 'count'>;
	/** Told how long each piece took, so that a stall of the loop can be explained. */
	readonly activity: Pick<LoopActivity, 'record'>;
};

/**
One instance a process.

@example
```
pacer.recordRead(gate, 65_536, 3.2);
pacer.remove(gate);
```
*/
export class AnswerPacer {
	#isScheduled = false;
	readonly #share = new ReadingShare<ReadingGate>();
	readonly #options: PacerOptions;

	constructor(options: PacerOptions) {
		this.#options = options;
	}

	/** Monotonic time in milliseconds. */
	now(): number {
		return this.#options.now();
	}

	/** Answers whose reading pauses now. */
	get waitingCount(): number {
		return this.#share.waitingCount;
	}

	/** Records that a piece of an answer, of this many bytes, has been read in this time. */
	recordRead(gate: ReadingGate, bytes: number, milliseconds: number): void {
		this.#options.activity.record('answer', bytes, milliseconds);
		if (!this.#share.mustPause(gate, milliseconds, this.now())) {
			return;
		}

		this.#options.metrics.count('answer.paused');
		gate.hold('gateway');
		this.#schedule();
	}

	/** Forgets an answer that has ended. */
	remove(gate: ReadingGate): void {
		this.#share.remove(gate);
	}

	#schedule(): void {
		if (this.#isScheduled || this.#share.waitingCount === 0) {
			return;
		}

		this.#isScheduled = true;
		this.#options.timers.after(Math.ceil(this.#share.waitMilliseconds(this.now())), () => {
			this.#isScheduled = false;
			this.#share.takeNext(this.now())?.release('gateway');
			this.#schedule();
		});
	}
}
