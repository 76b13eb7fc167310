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
import {tokenTimeShare} from './token-time-share.js';
import {SpeedCorrection} from './speed-correction.js';
import type {TargetCapacity} from './target-capacity.js';
import {workCost} from './work-cost.js';
import type {Work} from './work.js';

const maxQueued = 512;
const minRetryAfterMilliseconds = 250;
const maxRetryAfterMilliseconds = 30_000;
const fairShareFactor = 2;

const importanceRank: Readonly<Record<Importance, number>> = {low: 0, normal: 1, high: 2};

type WaitingWork = Work & ReturnType<typeof workCost>;
type RunningWork = WaitingWork & {readonly startedAt: number; readonly estimatedMilliseconds: number};

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
	#waiting: readonly WaitingWork[] = [];
	readonly #running = new Map<string, RunningWork>();
	readonly #speedCorrection = new SpeedCorrection();
	#usedPieces = 0;
	#isOpen = true;

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
		const isKnown = this.#running.has(work.attemptId) || this.#waiting.some(waiting => waiting.attemptId === work.attemptId);
		assertInvariant(!isKnown, resultCode.admissionInvariantBroken, `attempt ${work.attemptId} offered twice`);
		if (!this.#isOpen) {
			return [refusal(work, resultCode.targetLeaving, minRetryAfterMilliseconds)];
		}

		const waiting: WaitingWork = {...work, ...workCost(work, this.#capacity)};
		if (this.#capacity.kind === 'engine' && waiting.pieces > this.#capacity.totalPieces) {
			return [refusal(work, resultCode.requestTooLarge, maxRetryAfterMilliseconds)];
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
			this.#speedCorrection.observe({
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
			this.#speedCorrection.decay(now);
		}

		const infeasible = this.#waiting.filter(waiting => now + this.#correctedLatency(waiting) > waiting.deadlineAt);
		this.#waiting = this.#waiting.filter(waiting => !infeasible.includes(waiting));
		return [
			...infeasible.map(waiting => refusal(waiting, resultCode.deadlineUnreachable, this.#retryAfter(waiting, now))),
			...this.#start(now),
		];
	}

	/** Stops admission and refuses all waiting work; running work continues. */
	close(): readonly AdmissionEffect[] {
		this.#isOpen = false;
		const refused = this.#waiting.map(waiting => refusal(waiting, resultCode.targetLeaving, minRetryAfterMilliseconds));
		this.#waiting = [];
		return refused;
	}

	/** Resumes admission after a cancelled departure or a finished change. */
	reopen(): void {
		this.#isOpen = true;
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
			leaving: !this.#isOpen,
		};
	}

	/** Sheds waiting work until all that remains can meet its deadline and the queue is within its limit. */
	#shedUntilFeasible(newWork: WaitingWork, now: number): readonly AdmissionEffect[] {
		const effects: AdmissionEffect[] = [];
		for (;;) {
			const lateWork = this.#findFirstLate(now);
			const isOverfull = this.#waiting.length > maxQueued;
			if (lateWork === undefined && !isOverfull) {
				return effects;
			}

			const workToShed = this.#selectWorkToShed(lateWork, newWork);
			effects.push(refusal(workToShed, this.#shedCode(workToShed, newWork, isOverfull), this.#retryAfter(workToShed, now)));
			this.#waiting = this.#waiting.filter(waiting => waiting !== workToShed);
		}
	}

	/** Returns the first work, in order of deadline, that would end too late if all work ahead of it ran. */
	#findFirstLate(now: number): WaitingWork | undefined {
		const canStartAtOnce = this.#hasRoom() && this.#waiting.length === 1;
		let ahead = canStartAtOnce ? 0 : this.#backlog(now);
		return this.#waiting.find(waiting => {
			const endsAt = now + ahead + this.#correctedLatency(waiting);
			ahead += waiting.occupancyMilliseconds * this.#speedCorrection.occupancyFactor;
			return endsAt > waiting.deadlineAt;
		});
	}

	/**
	Selects the work to shed among `lateWork` and the work ahead of it, or in the whole queue if none is late.

	It takes the least important work; of that, work of the organisation that holds most of the queue; of that, the latest deadline.
	*/
	#selectWorkToShed(lateWork: WaitingWork | undefined, newWork: WaitingWork): WaitingWork {
		const candidates = lateWork === undefined ? this.#waiting : this.#waiting.slice(0, this.#waiting.indexOf(lateWork) + 1);
		const occupancyByOrganisation = new Map<string, number>();
		for (const waiting of this.#waiting) {
			occupancyByOrganisation.set(waiting.organisation, (occupancyByOrganisation.get(waiting.organisation) ?? 0) + waiting.occupancyMilliseconds);
		}

		return candidates.reduce((selected, waiting) => {
			const byImportance = importanceRank[waiting.importance] - importanceRank[selected.importance];
			if (byImportance !== 0) {
				return byImportance < 0 ? waiting : selected;
			}

			const byOccupancy = (occupancyByOrganisation.get(waiting.organisation) ?? 0) - (occupancyByOrganisation.get(selected.organisation) ?? 0);
			if (byOccupancy !== 0) {
				return byOccupancy > 0 ? waiting : selected;
			}

			return waiting === newWork || waiting.deadlineAt >= selected.deadlineAt ? waiting : selected;
		});
	}

	#shedCode(workToShed: WaitingWork, newWork: WaitingWork, isOverfull: boolean): number {
		if (workToShed !== newWork) {
			return resultCode.shed;
		}

		if (this.#isOverShare(workToShed.organisation)) {
			return resultCode.organisationOverShare;
		}

		return isOverfull ? resultCode.queueFull : resultCode.deadlineUnreachable;
	}

	#isOverShare(organisation: string): boolean {
		const organisations = new Set(this.#waiting.map(waiting => waiting.organisation));
		const ownCount = this.#waiting.filter(waiting => waiting.organisation === organisation).length;
		return organisations.size > 1 && ownCount > fairShareFactor * this.#waiting.length / organisations.size;
	}

	/** Starts waiting work while it fits, in order of deadline; organisations within their fair share go first. */
	#start(now: number): readonly AdmissionEffect[] {
		const effects: AdmissionEffect[] = [];
		for (;;) {
			const next = this.#selectNext();
			if (next === undefined || !this.#fits(next)) {
				return effects;
			}

			this.#waiting = this.#waiting.filter(waiting => waiting !== next);
			this.#running.set(next.attemptId, {...next, startedAt: now, estimatedMilliseconds: this.#uncorrectedLatency(next)});
			this.#usedPieces += next.pieces;
			effects.push({kind: 'run', attemptId: next.attemptId});
		}
	}

	#selectNext(): WaitingWork | undefined {
		const first = this.#waiting[0];
		if (first === undefined || this.#waiting.length === 1) {
			return first;
		}

		const runningCounts = new Map<string, number>();
		for (const {organisation} of this.#running.values()) {
			runningCounts.set(organisation, (runningCounts.get(organisation) ?? 0) + 1);
		}

		const maxFairRunning = Math.max(1, fairShareFactor * this.#running.size / Math.max(1, runningCounts.size));
		return this.#waiting.find(waiting => (runningCounts.get(waiting.organisation) ?? 0) <= maxFairRunning) ?? first;
	}

	#hasRoom(): boolean {
		return this.#running.size < this.#capacity.mostRunning;
	}

	#fits(waiting: WaitingWork): boolean {
		if (!this.#hasRoom()) {
			return false;
		}

		return this.#capacity.kind === 'plain' || this.#usedPieces + waiting.pieces <= this.#capacity.totalPieces;
	}

	/** Time in milliseconds for which the running work will still occupy the target's whole capacity. */
	#backlog(now: number): number {
		return [...this.#running.values()].reduce((total, running) => {
			const elapsedShare = (now - running.startedAt) / Math.max(1, running.estimatedMilliseconds * this.#speedCorrection.latencyFactor);
			return total + (running.occupancyMilliseconds * this.#speedCorrection.occupancyFactor * Math.max(0, 1 - elapsedShare));
		}, 0);
	}

	/** Estimated latency, corrected by the latency observed. */
	#correctedLatency(work: WaitingWork): number {
		return this.#uncorrectedLatency(work) * this.#speedCorrection.latencyFactor;
	}

	/** Estimated latency at the target's reported speed, with one more stream than now or, if other work waits, a full batch. */
	#uncorrectedLatency({fixedMilliseconds, batchMilliseconds}: WaitingWork): number {
		const {mostRunning} = this.#capacity;
		const batchSize = this.#waiting.length > 1 ? mostRunning : this.#running.size + 1;
		return fixedMilliseconds + (batchMilliseconds * tokenTimeShare(batchSize, mostRunning));
	}

	#queuedOccupancy(): number {
		return sumOccupancy(this.#waiting) * this.#speedCorrection.occupancyFactor;
	}

	/** Time after which the work should fit: the part of the backlog that exceeds the time left until its deadline. */
	#retryAfter(work: WaitingWork, now: number): number {
		const excess = this.#backlog(now) + this.#queuedOccupancy() - Math.max(0, work.deadlineAt - now - this.#correctedLatency(work));
		return Math.min(maxRetryAfterMilliseconds, Math.max(minRetryAfterMilliseconds, excess));
	}
}

const sumOccupancy = (waiting: readonly WaitingWork[]): number => waiting.reduce((total, {occupancyMilliseconds}) => total + occupancyMilliseconds, 0);

const refusal = ({attemptId}: Pick<Work, 'attemptId'>, code: number, retryAfterMilliseconds: number): AdmissionEffect => ({
	kind: 'refuse', attemptId, code, retryAfterMilliseconds,
});

const insertByDeadline = (waiting: readonly WaitingWork[], newWork: WaitingWork): readonly WaitingWork[] => {
	const index = waiting.findIndex(other => other.deadlineAt > newWork.deadlineAt);
	return index === -1 ? [...waiting, newWork] : waiting.toSpliced(index, 0, newWork);
};
