/**
Admission control at one target: decides which work runs, waits or is refused.

Urgency and importance are independent. Waiting work is ordered by deadline (earliest
deadline first). Under overload the least important work is shed first; within one
importance, the work of the organisation that holds most of the queue. Work that cannot
meet its deadline is refused at once, before it runs, with the time after which to retry.
*/
import {resultCode} from '../../generated/result-codes.js';
import type {Importance, Load} from '../../generated/messages.js';
import {assertInvariant} from '../../shared/assert-invariant.js';
import type {AdmissionEffect} from './admission-effect.js';
import {batchShare} from './batch-share.js';
import {PaceEstimate} from './pace-estimate.js';
import type {TargetCapacity} from './target-capacity.js';
import {workCost} from './work-cost.js';
import type {Work} from './work.js';

const mostQueued = 512;
const leastRetryAfterMilliseconds = 250;
const mostRetryAfterMilliseconds = 30_000;
const fairShareFactor = 2;

const importanceRank: Readonly<Record<Importance, number>> = {low: 0, normal: 1, high: 2};

type Waiting = Work & ReturnType<typeof workCost>;
type Running = Waiting & {readonly startedAt: number; readonly estimatedMilliseconds: number};

type QueueLoad = Omit<Load, 'role' | 'model' | 'version' | 'changing' | 'promptTokensOffered' | 'outputTokensOffered'>;

/**
Admission queue of one target. Deterministic: the caller passes the time.

Invariants: no attempt is both waiting and running; running work never uses more
pieces of engine memory than there are; each attempt offered is answered by exactly one
`run` or `refuse`, unless it is withdrawn first.

@example
```
const queue = new AdmissionQueue(capacity);
for (const effect of queue.offer(work, clock())) { ... }
```
*/
export class AdmissionQueue {
	#capacity: TargetCapacity;
	#waiting: readonly Waiting[] = [];
	readonly #running = new Map<string, Running>();
	readonly #pace = new PaceEstimate();
	#usedPieces = 0;
	#open = true;

	constructor(capacity: TargetCapacity) {
		this.#capacity = capacity;
	}

	get runningCount(): number {
		return this.#running.size;
	}

	get waitingCount(): number {
		return this.#waiting.length;
	}

	/** Replaces the capacity when the target reports a new one. */
	updateCapacity(capacity: TargetCapacity): void {
		this.#capacity = capacity;
	}

	/** Offers new work, which runs, waits or is refused; other waiting work may be shed to make room for it. */
	offer(work: Work, now: number): readonly AdmissionEffect[] {
		const known = this.#running.has(work.attemptId) || this.#waiting.some(waiting => waiting.attemptId === work.attemptId);
		assertInvariant(!known, resultCode.admissionInvariantBroken, `attempt ${work.attemptId} offered twice`);
		if (!this.#open) {
			return [refusal(work, resultCode.targetLeaving, leastRetryAfterMilliseconds)];
		}

		const waiting: Waiting = {...work, ...workCost(work, this.#capacity)};
		if (this.#capacity.kind === 'engine' && waiting.pieces > this.#capacity.totalPieces) {
			return [refusal(work, resultCode.requestTooLarge, mostRetryAfterMilliseconds)];
		}

		this.#waiting = insertByDeadline(this.#waiting, waiting);
		const shed = this.#shedUntilFeasible(waiting, now);
		return [...shed, ...this.#start(now)];
	}

	/** Records that running work has ended, and starts the waiting work that now fits. */
	complete(attemptId: string, now: number): readonly AdmissionEffect[] {
		const ended = this.#running.get(attemptId);
		if (ended !== undefined) {
			this.#running.delete(attemptId);
			this.#usedPieces -= ended.pieces;
			this.#pace.observe({
				estimatedMilliseconds: ended.estimatedMilliseconds,
				actualMilliseconds: now - ended.startedAt,
				occupancyMilliseconds: ended.occupancyMilliseconds,
				isSaturated: this.#waiting.length > 0,
			}, now);
		}

		return this.#start(now);
	}

	/** Removes waiting work; returns false when the attempt is not waiting. */
	withdraw(attemptId: string): boolean {
		const before = this.#waiting.length;
		this.#waiting = this.#waiting.filter(waiting => waiting.attemptId !== attemptId);
		return this.#waiting.length < before;
	}

	/** Refuses waiting work whose deadline can no longer be met. */
	expire(now: number): readonly AdmissionEffect[] {
		if (this.#running.size === 0) {
			this.#pace.relax(now);
		}

		const hopeless = this.#waiting.filter(waiting => now + this.#latency(waiting) > waiting.deadlineAt);
		this.#waiting = this.#waiting.filter(waiting => !hopeless.includes(waiting));
		return [
			...hopeless.map(waiting => refusal(waiting, resultCode.deadlineUnreachable, this.#retryAfter(waiting, now))),
			...this.#start(now),
		];
	}

	/** Stops admission and refuses all waiting work; running work continues. */
	close(): readonly AdmissionEffect[] {
		this.#open = false;
		const refused = this.#waiting.map(waiting => refusal(waiting, resultCode.targetLeaving, leastRetryAfterMilliseconds));
		this.#waiting = [];
		return refused;
	}

	/** Resumes admission after a cancelled departure or a finished change. */
	reopen(): void {
		this.#open = true;
	}

	/** Returns the load at this moment, for load reports and answers. */
	load(now: number): QueueLoad {
		const totalPieces = this.#capacity.kind === 'engine' ? this.#capacity.totalPieces : 0;
		return {
			prefillTokensPerSecond: this.#capacity.kind === 'engine' ? this.#capacity.prefillTokensPerSecond : 0,
			decodeTokensPerSecond: this.#capacity.kind === 'engine' ? this.#capacity.decodeTokensPerSecond : 0,
			tokenMilliseconds: this.#capacity.kind === 'engine' ? this.#capacity.tokenMilliseconds : 0,
			running: this.#running.size,
			mostRunning: this.#capacity.mostRunning,
			queued: this.#waiting.length,
			queueMilliseconds: this.#hasRoom() && this.#waiting.length === 0 ? 0 : this.#backlog(now) + this.#queuedOccupancy(),
			queuedPromptTokens: this.#waiting.reduce((tokens, waiting) => tokens + waiting.promptTokens, 0),
			freePieces: totalPieces - this.#usedPieces,
			totalPieces,
			leaving: !this.#open,
		};
	}

	/** Sheds waiting work until all that remains can meet its deadline and the queue is within its limit. */
	#shedUntilFeasible(newcomer: Waiting, now: number): readonly AdmissionEffect[] {
		const effects: AdmissionEffect[] = [];
		for (;;) {
			const late = this.#firstLate(now);
			const isOverfull = this.#waiting.length > mostQueued;
			if (late === undefined && !isOverfull) {
				return effects;
			}

			const victim = this.#victim(late, newcomer);
			effects.push(refusal(victim, this.#shedCode(victim, newcomer, isOverfull), this.#retryAfter(victim, now)));
			this.#waiting = this.#waiting.filter(waiting => waiting !== victim);
		}
	}

	/** Returns the first work, in order of deadline, that would end too late if all work ahead of it ran. */
	#firstLate(now: number): Waiting | undefined {
		const canStartAtOnce = this.#hasRoom() && this.#waiting.length === 1;
		let ahead = canStartAtOnce ? 0 : this.#backlog(now);
		return this.#waiting.find(waiting => {
			const endsAt = now + ahead + this.#latency(waiting);
			ahead += waiting.occupancyMilliseconds * this.#pace.occupancyFactor;
			return endsAt > waiting.deadlineAt;
		});
	}

	/**
	Selects the work to shed among `late` and the work ahead of it, or in the whole queue if none is late.

	It takes the least important work; of that, work of the organisation that holds most of the queue; of that, the latest deadline.
	*/
	#victim(late: Waiting | undefined, newcomer: Waiting): Waiting {
		const candidates = late === undefined ? this.#waiting : this.#waiting.slice(0, this.#waiting.indexOf(late) + 1);
		const held = new Map<string, number>();
		for (const waiting of this.#waiting) {
			held.set(waiting.organisation, (held.get(waiting.organisation) ?? 0) + waiting.occupancyMilliseconds);
		}

		return candidates.reduce((least, waiting) => {
			const byImportance = importanceRank[waiting.importance] - importanceRank[least.importance];
			if (byImportance !== 0) {
				return byImportance < 0 ? waiting : least;
			}

			const byShare = (held.get(waiting.organisation) ?? 0) - (held.get(least.organisation) ?? 0);
			if (byShare !== 0) {
				return byShare > 0 ? waiting : least;
			}

			return waiting === newcomer || waiting.deadlineAt >= least.deadlineAt ? waiting : least;
		});
	}

	#shedCode(victim: Waiting, newcomer: Waiting, isOverfull: boolean): number {
		if (victim !== newcomer) {
			return resultCode.shed;
		}

		if (this.#isOverShare(victim.organisation)) {
			return resultCode.organisationOverShare;
		}

		return isOverfull ? resultCode.queueFull : resultCode.deadlineUnreachable;
	}

	#isOverShare(organisation: string): boolean {
		const organisations = new Set(this.#waiting.map(waiting => waiting.organisation));
		const own = this.#waiting.filter(waiting => waiting.organisation === organisation).length;
		return organisations.size > 1 && own > fairShareFactor * this.#waiting.length / organisations.size;
	}

	/** Starts waiting work while it fits, in order of deadline; organisations within their fair share go first. */
	#start(now: number): readonly AdmissionEffect[] {
		const effects: AdmissionEffect[] = [];
		for (;;) {
			const next = this.#next();
			if (next === undefined || !this.#fits(next)) {
				return effects;
			}

			this.#waiting = this.#waiting.filter(waiting => waiting !== next);
			this.#running.set(next.attemptId, {...next, startedAt: now, estimatedMilliseconds: this.#plainLatency(next)});
			this.#usedPieces += next.pieces;
			effects.push({kind: 'run', attemptId: next.attemptId});
		}
	}

	#next(): Waiting | undefined {
		const first = this.#waiting[0];
		if (first === undefined || this.#waiting.length === 1) {
			return first;
		}

		const running = new Map<string, number>();
		for (const {organisation} of this.#running.values()) {
			running.set(organisation, (running.get(organisation) ?? 0) + 1);
		}

		const fairRunning = Math.max(1, fairShareFactor * this.#running.size / Math.max(1, running.size));
		return this.#waiting.find(waiting => (running.get(waiting.organisation) ?? 0) <= fairRunning) ?? first;
	}

	#hasRoom(): boolean {
		return this.#running.size < this.#capacity.mostRunning;
	}

	#fits(waiting: Waiting): boolean {
		if (!this.#hasRoom()) {
			return false;
		}

		return this.#capacity.kind === 'plain' || this.#usedPieces + waiting.pieces <= this.#capacity.totalPieces;
	}

	/** Time in milliseconds for which the running work will still occupy the target's whole capacity. */
	#backlog(now: number): number {
		return [...this.#running.values()].reduce((total, running) => {
			const elapsedShare = (now - running.startedAt) / Math.max(1, running.estimatedMilliseconds * this.#pace.latencyFactor);
			return total + (running.occupancyMilliseconds * this.#pace.occupancyFactor * Math.max(0, 1 - elapsedShare));
		}, 0);
	}

	/** Estimated latency, corrected by the latency observed. */
	#latency(work: Waiting): number {
		return this.#plainLatency(work) * this.#pace.latencyFactor;
	}

	/** Estimated latency at the target's reported speed, with one more stream than now or, if other work waits, a full batch. */
	#plainLatency({fixedMilliseconds, batchMilliseconds}: Waiting): number {
		const {mostRunning} = this.#capacity;
		const beside = this.#waiting.length > 1 ? mostRunning : this.#running.size + 1;
		return fixedMilliseconds + (batchMilliseconds * batchShare(beside, mostRunning));
	}

	#queuedOccupancy(): number {
		return sum(this.#waiting) * this.#pace.occupancyFactor;
	}

	/** Time after which the work should fit: the part of the backlog that exceeds the time left until its deadline. */
	#retryAfter(work: Waiting, now: number): number {
		const excess = this.#backlog(now) + this.#queuedOccupancy() - Math.max(0, work.deadlineAt - now - this.#latency(work));
		return Math.min(mostRetryAfterMilliseconds, Math.max(leastRetryAfterMilliseconds, excess));
	}
}

const sum = (waiting: readonly Waiting[]): number => waiting.reduce((total, {occupancyMilliseconds}) => total + occupancyMilliseconds, 0);

const refusal = ({attemptId}: Pick<Work, 'attemptId'>, code: number, retryAfterMilliseconds: number): AdmissionEffect => ({
	kind: 'refuse', attemptId, code, retryAfterMilliseconds,
});

const insertByDeadline = (waiting: readonly Waiting[], newcomer: Waiting): readonly Waiting[] => {
	const index = waiting.findIndex(other => other.deadlineAt > newcomer.deadlineAt);
	return index === -1 ? [...waiting, newcomer] : waiting.toSpliced(index, 0, newcomer);
};
