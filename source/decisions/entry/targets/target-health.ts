/**
Detects failing targets from the outcomes of this gateway's own attempts (passive outlier detection).

Health checks can pass while requests fail, so only outcomes count. A target that
fails is avoided for a while, longer each time. It is then tried again cautiously: one
more lost attempt avoids it again. When all candidates are avoided, `withoutAvoided`
leaves none out, because the fault is then elsewhere.
*/

/** Consecutive failures after which a target is avoided. */
const failuresToAvoid = 3;
const firstAvoidMilliseconds = 400;
const maxAvoidMilliseconds = 3000;
/** Weight of the newest outcome in the exponentially weighted failure share. */
const newestWeight = 0.1;
/** Failure share above which a target is avoided. */
const failureShareToAvoid = 0.5;

type Health = {readonly consecutiveFailures: number; readonly share: number; readonly avoidedUntil: number; readonly avoidances: number};

const initialHealth: Health = {
	consecutiveFailures: 0, share: 0, avoidedUntil: Number.NEGATIVE_INFINITY, avoidances: 0,
};

/** A target counts as silent when it has sent nothing for this long after data was expected. */
const silentMilliseconds = 1200;

type OpenAttempts = {readonly count: number; readonly dueAt: number; readonly isReported: boolean};

/**
Outcomes by target incarnation. Times are on the gateway's monotonic clock.

@example
```
health.recordFailure('engine-3 17', 'lost', now);
const candidates = targets.filter(target => !health.isAvoided(target, now));
```
*/
export class TargetHealth {
	readonly #byTarget = new Map<string, Health>();
	readonly #attempts = new Map<string, OpenAttempts>();

	recordSuccess(target: string): void {
		const health = this.#byTarget.get(target) ?? initialHealth;
		this.#byTarget.set(target, {
			consecutiveFailures: 0, share: health.share * (1 - newestWeight), avoidedUntil: health.avoidedUntil, avoidances: health.share < newestWeight ? 0 : health.avoidances,
		});
	}

	/**
	Records a failure; true when the target is avoided from now on.

	An `answered` failure is one that the service itself returned. These are common in some services, so they count in the share only.
	*/
	recordFailure(target: string, kind: 'answered' | 'lost', now: number): boolean {
		const health = this.#byTarget.get(target) ?? initialHealth;
		const consecutiveFailures = kind === 'lost' ? health.consecutiveFailures + 1 : 0;
		const share = (health.share * (1 - newestWeight)) + newestWeight;
		const isAvoided = now >= health.avoidedUntil && (consecutiveFailures >= failuresToAvoid || share > failureShareToAvoid);
		this.#byTarget.set(target, isAvoided
			? {
				consecutiveFailures: failuresToAvoid - 1,
				share: share / 2,
				avoidedUntil: now + Math.min(maxAvoidMilliseconds, firstAvoidMilliseconds * (2 ** health.avoidances)),
				avoidances: health.avoidances + 1,
			}
			: {...health, consecutiveFailures, share});
		return isAvoided;
	}

	/** Records that an attempt was sent, and the time within which the target is expected to send something. */
	recordSent(target: string, expectedMilliseconds: number, now: number): void {
		const open = this.#attempts.get(target);
		const dueAt = now + expectedMilliseconds;
		this.#attempts.set(target, open === undefined ? {count: 1, dueAt, isReported: false} : {...open, count: open.count + 1, dueAt: Math.max(open.dueAt, dueAt)});
	}

	/** Records that the target sent something. */
	recordReceived(target: string, now: number): void {
		const open = this.#attempts.get(target);
		if (open !== undefined) {
			this.#attempts.set(target, {...open, dueAt: Math.max(open.dueAt, now), isReported: false});
		}
	}

	/** Records that an attempt ended, whatever its outcome. */
	recordEnded(target: string): void {
		const open = this.#attempts.get(target);
		if (open === undefined) {
			return;
		}

		if (open.count <= 1) {
			this.#attempts.delete(target);
		} else {
			this.#attempts.set(target, {...open, count: open.count - 1});
		}
	}

	/**
	True while a target has open attempts and has sent nothing although data was expected: its machine may be gone.

	An engine that prefills one long prompt for a gateway sends nothing for seconds; the expected time covers that, so it does not count as silent.
	*/
	isSilent(target: string, now: number): boolean {
		const open = this.#attempts.get(target);
		return open !== undefined && now - open.dueAt > silentMilliseconds;
	}

	/** Returns the targets that have become silent since the last call. */
	takeSilent(now: number): readonly string[] {
		const silent = [...this.#attempts].filter(([target, {isReported}]) => !isReported && this.isSilent(target, now));
		for (const [target, open] of silent) {
			this.#attempts.set(target, {...open, isReported: true});
		}

		return silent.map(([target]) => target);
	}

	isAvoided(target: string, now: number): boolean {
		return now < (this.#byTarget.get(target) ?? initialHealth).avoidedUntil || this.isSilent(target, now);
	}

	/** Share of failures among recent outcomes, 0 to 1. */
	failureShare(target: string): number {
		return (this.#byTarget.get(target) ?? initialHealth).share;
	}

	/** Removes the health of targets that are gone. */
	keepOnly(targets: ReadonlySet<string>): void {
		for (const target of this.#byTarget.keys()) {
			if (!targets.has(target)) {
				this.#byTarget.delete(target);
			}
		}
	}
}
