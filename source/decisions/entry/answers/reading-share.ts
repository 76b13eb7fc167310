/**
Decides whose answer is read on, so that reading leaves the event loop time for everything else.

The load that it answers: several targets send without a pause. Their bytes may be cut so finely
that each of them costs as much work as many, or there may simply be more of them than the
processor can pass on. All requests share one event loop, and without a limit those at sound
targets wait while it reads.

Reading is charged by the time that it takes. An answer that takes little is always read. The
others share a part of the time; when that is used up, each of them pauses after its next piece,
and they go on one after the other, the one that has waited longest first.
*/

/** Part of the time that the reading of large answers may take. */
const commonShare = 0.5;
/** Time for reading that may be saved up, in milliseconds. */
const commonBurstMilliseconds = 10;
/** Part of the time in which one answer is read whatever the others take. */
const ownShare = 0.02;
const ownBurstMilliseconds = 4;

/** Time for reading that is left at a moment; less than 0 when more was taken than there was. */
type Allowance = {readonly milliseconds: number; readonly at: number};

/**
One instance a process. Times are in milliseconds on a clock that does not go back.

@example
```
if (share.mustPause(answer, 3.2, now)) {
	pause(answer);
}

const next = share.takeNext(now);
```
*/
export class ReadingShare<Answer> {
	#common: Allowance = {milliseconds: commonBurstMilliseconds, at: Number.NEGATIVE_INFINITY};
	readonly #own = new Map<Answer, Allowance>();
	/** Answers that pause, the one that has waited longest first. */
	readonly #waiting = new Set<Answer>();

	/** Number of answers that pause. */
	get waitingCount(): number {
		return this.#waiting.size;
	}

	/** Records that a piece of an answer took this long to read; true when the answer is to pause until `takeNext` returns it. */
	mustPause(answer: Answer, milliseconds: number, now: number): boolean {
		const own = this.#ownAllowance(answer, now) - milliseconds;
		const common = this.#commonAllowance(now) - milliseconds;
		this.#own.set(answer, {milliseconds: own, at: now});
		this.#common = {milliseconds: common, at: now};
		const isOverdrawn = own < 0 && (common < 0 || this.#waiting.size > 0);
		if (isOverdrawn) {
			this.#waiting.add(answer);
		}

		return isOverdrawn;
	}

	/** Returns the answer that goes on now; none while there is no time for it. */
	takeNext(now: number): Answer | undefined {
		const [next] = this.#waiting;
		if (next === undefined || this.#commonAllowance(now) < 0) {
			return undefined;
		}

		this.#waiting.delete(next);
		return next;
	}

	/** Time until an answer that pauses may go on. */
	waitMilliseconds(now: number): number {
		return Math.max(0, -this.#commonAllowance(now) / commonShare);
	}

	/** Forgets an answer that has ended. */
	remove(answer: Answer): void {
		this.#own.delete(answer);
		this.#waiting.delete(answer);
	}

	#commonAllowance(now: number): number {
		const {milliseconds, at} = this.#common;
		return Math.min(commonBurstMilliseconds, milliseconds + ((now - at) * commonShare));
	}

	#ownAllowance(answer: Answer, now: number): number {
		const {milliseconds, at} = this.#own.get(answer) ?? {milliseconds: ownBurstMilliseconds, at: now};
		return Math.min(ownBurstMilliseconds, milliseconds + ((now - at) * ownShare));
	}
}
