/**
Measures one attempt and reports to the learned capacity how long its target took.
*/
import type {AnswerFacts} from '../fleet/answer-facts.js';
import type {AttemptPlan} from './attempt-plan.js';
import type {EntryContext} from './entry-context.js';
import type {LoadEntry} from './load-entry.js';

/** Reads of a stream without which the mean time between them says little. */
const minReads = 8;
/** Lowest status of an answer whose time says nothing of the work: requests that are rejected as wrong are answered at once. */
const firstErrorStatus = 400;

type Context = Pick<EntryContext, 'capacity' | 'loadTracker' | 'now'>;

type AnswerKind = 'answer' | 'refusal' | 'other';

/**
Call its methods in the order in which the events happen; `recordSent` comes first.

@example
```
timing.recordSent();
timing.recordHead(facts, 'answer');
timing.recordData();
timing.recordEnd();
```
*/
export class AttemptTiming {
	readonly #plan: Pick<AttemptPlan, 'target' | 'instructions'>;
	readonly #entry: LoadEntry;
	readonly #context: Context;
	#sentAt: number | undefined;
	/** Attempts at the target beside this one when it was sent. */
	#beside = 0;
	#firstDataAt: number | undefined;
	#lastDataAt = 0;
	#reads = 0;
	#isAnswer = false;

	constructor(plan: Pick<AttemptPlan, 'target' | 'instructions'>, entry: LoadEntry, context: Context) {
		this.#plan = plan;
		this.#entry = entry;
		this.#context = context;
	}

	recordSent(): void {
		const {loadTracker, now} = this.#context;
		this.#sentAt = now();
		this.#beside = Math.max(0, loadTracker.totalLoad(this.#plan.target.id, this.#sentAt).attempts - 1);
	}

	/** Records the head of an answer that is known to be of this attempt. */
	recordHead({status, load}: Pick<AnswerFacts, 'status' | 'load'>, kind: AnswerKind): void {
		const {capacity, now} = this.#context;
		const {target} = this.#plan;
		const at = now();
		this.#isAnswer = kind === 'answer' && status < firstErrorStatus;
		if (load !== undefined) {
			capacity.recordLoad(target, load, at);
		}

		if (target.role !== undefined || this.#sentAt === undefined) {
			return;
		}

		const running = load === undefined ? this.#beside : Math.min(load.running + load.waiting, target.slots * 2);
		if (this.#isAnswer) {
			capacity.recordCall(target, {milliseconds: at - this.#sentAt, running}, at);
		} else if (kind === 'refusal') {
			capacity.recordRefusal(target, running, at);
		}
	}

	recordData(): void {
		const at = this.#context.now();
		if (this.#firstDataAt === undefined) {
			this.#firstDataAt = at;
			this.#recordPrefill(at);
		}

		this.#lastDataAt = at;
		this.#reads++;
	}

	/** Records the end of the attempt, whole or not. */
	recordEnd(): void {
		const {capacity, loadTracker} = this.#context;
		const {target, instructions} = this.#plan;
		if (!this.#isAnswer || target.role !== 'decode' || instructions.isPrefillOnly || this.#reads < minReads) {
			return;
		}

		const gapMilliseconds = (this.#lastDataAt - this.#firstDataAt!) / (this.#reads - 1);
		capacity.recordDecode(target, {gapMilliseconds, running: loadTracker.totalLoad(target.id, this.#lastDataAt).attempts + 1}, this.#lastDataAt);
	}

	#recordPrefill(at: number): void {
		const {prefill} = this.#entry;
		if (this.#isAnswer && prefill !== undefined && this.#sentAt !== undefined) {
			this.#context.capacity.recordPrefill(this.#plan.target, {...prefill, milliseconds: at - this.#sentAt}, at);
		}
	}
}
