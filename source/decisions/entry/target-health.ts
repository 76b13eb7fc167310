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

	isAvoided(target: string, now: number): boolean {
		return now < (this.#byTarget.get(target) ?? unknownHealth).avoidedUntil;
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
