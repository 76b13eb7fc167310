/**
Learns which targets fail, from the outcomes of this gateway's own attempts.

Health checks can be good while requests fail, so only outcomes count. A target
that fails is avoided for a while, longer each time, and tried again gently; when
many would be avoided, none is, since then the fault is elsewhere.
*/

/** Failures in a row that lead to avoidance. */
const failuresToAvoid = 3;
const firstAvoidMilliseconds = 400;
const longestAvoidMilliseconds = 3000;
/** Weight of the newest outcome in the share of failures. */
const newestWeight = 0.1;
/** Share of failures above which a target is avoided. */
const failureShareToAvoid = 0.5;

type Health = {readonly inRow: number; readonly share: number; readonly avoidedUntil: number; readonly times: number};

const unknownHealth: Health = {
	inRow: 0, share: 0, avoidedUntil: Number.NEGATIVE_INFINITY, times: 0,
};

/** Time without a word from a target after one was due, after which it is taken to be silent. */
const silentMilliseconds = 1200;

type Work = {readonly open: number; readonly dueAt: number; readonly isTold: boolean};

/**
Outcomes by target incarnation. Times are on the gateway's monotonic clock.

@example
```
health.failed('engine-3 17', now);
const candidates = targets.filter(target => !health.isAvoided(target, now));
```
*/
export class TargetHealth {
	readonly #byTarget = new Map<string, Health>();
	readonly #work = new Map<string, Work>();

	succeeded(target: string): void {
		const health = this.#byTarget.get(target) ?? unknownHealth;
		this.#byTarget.set(target, {
			inRow: 0, share: health.share * (1 - newestWeight), avoidedUntil: health.avoidedUntil, times: health.share < newestWeight ? 0 : health.times,
		});
	}

	/**
	Records a failure; true when the target is avoided from now on.

	An `answered` failure is the service's own word and common in some services, so it counts in the share only.
	*/
	failed(target: string, kind: 'answered' | 'lost', now: number): boolean {
		const health = this.#byTarget.get(target) ?? unknownHealth;
		const inRow = kind === 'lost' ? health.inRow + 1 : 0;
		const share = (health.share * (1 - newestWeight)) + newestWeight;
		const isAvoided = now >= health.avoidedUntil && (inRow >= failuresToAvoid || share > failureShareToAvoid);
		this.#byTarget.set(target, isAvoided
			? {
				inRow: failuresToAvoid - 1, share: share / 2, avoidedUntil: now + Math.min(longestAvoidMilliseconds, firstAvoidMilliseconds * (2 ** health.times)), times: health.times + 1,
			}
			: {...health, inRow, share});
		return isAvoided;
	}

	/** Records that an attempt was handed over, and the time within which a word on it is expected. */
	sent(target: string, expectedMilliseconds: number, now: number): void {
		const work = this.#work.get(target);
		const dueAt = now + expectedMilliseconds;
		this.#work.set(target, work === undefined ? {open: 1, dueAt, isTold: false} : {...work, open: work.open + 1, dueAt: Math.max(work.dueAt, dueAt)});
	}

	/** Records any word from the target. */
	heard(target: string, now: number): void {
		const work = this.#work.get(target);
		if (work !== undefined) {
			this.#work.set(target, {...work, dueAt: Math.max(work.dueAt, now), isTold: false});
		}
	}

	/** Records that an attempt ended, by whatever end. */
	ended(target: string): void {
		const work = this.#work.get(target);
		if (work === undefined) {
			return;
		}

		if (work.open <= 1) {
			this.#work.delete(target);
		} else {
			this.#work.set(target, {...work, open: work.open - 1});
		}
	}

	/**
	True while a target has work and says nothing though a word was due: its machine may be gone.

	An engine that reads one long prompt for one gateway says nothing for seconds, which is no silence.
	*/
	isSilent(target: string, now: number): boolean {
		const work = this.#work.get(target);
		return work !== undefined && now - work.dueAt > silentMilliseconds;
	}

	/** Targets that have fallen silent since the last call. */
	takeSilent(now: number): readonly string[] {
		const silent = [...this.#work].filter(([target, {isTold}]) => !isTold && this.isSilent(target, now));
		for (const [target, work] of silent) {
			this.#work.set(target, {...work, isTold: true});
		}

		return silent.map(([target]) => target);
	}

	isAvoided(target: string, now: number): boolean {
		return now < (this.#byTarget.get(target) ?? unknownHealth).avoidedUntil || this.isSilent(target, now);
	}

	/** Share of failures among recent outcomes, 0 to 1. */
	failureShare(target: string): number {
		return (this.#byTarget.get(target) ?? unknownHealth).share;
	}

	/** Drops what is known of targets that are gone. */
	keepOnly(targets: ReadonlySet<string>): void {
		for (const target of this.#byTarget.keys()) {
			if (!targets.has(target)) {
				this.#byTarget.delete(target);
			}
		}
	}
}
