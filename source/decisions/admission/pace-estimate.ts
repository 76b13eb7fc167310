/**
Corrects a target's reported speed by the latency and throughput observed.

Without the correction, an engine that shares its memory bandwidth, throttles or is
slower than it reports would be given work that ends after its deadline.
*/

const latencySmoothing = 0.05;
const occupancySmoothing = 0.3;
/** Time constant with which the factors of an idle target decay towards 1. */
const relaxMilliseconds = 2000;
const leastFactor = 0.2;
const mostFactor = 10;
/** Time under saturation over which one observation of throughput is taken. */
const windowMilliseconds = 1000;

type Observation = {
	readonly estimatedMilliseconds: number;
	readonly actualMilliseconds: number;
	readonly occupancyMilliseconds: number;
	/** True when other work was waiting as this work ended. */
	readonly isSaturated: boolean;
};

const clamp = (value: number): number => Math.min(mostFactor, Math.max(leastFactor, value));

/**
Keeps two exponentially smoothed factors: observed over estimated latency and, while
work waits, elapsed time over the estimated occupancy of the completed work.

@example
```
pace.observe({estimatedMilliseconds: 900, actualMilliseconds: 1400, occupancyMilliseconds: 90, isSaturated: true}, now);
```
*/
export class PaceEstimate {
	#latencyFactor = 1;
	#occupancyFactor = 1;
	#relaxedAt: number | undefined;
	#window: {readonly startedAt: number; readonly occupancy: number} | undefined;

	get latencyFactor(): number {
		return this.#latencyFactor;
	}

	get occupancyFactor(): number {
		return this.#occupancyFactor;
	}

	/**
	Lets the factors decay towards 1 while the target is idle.

	Otherwise a factor so high that all work is refused would never be corrected, because
	no work would run and be observed.
	*/
	relax(now: number): void {
		const elapsed = Math.max(0, now - (this.#relaxedAt ?? now));
		this.#relaxedAt = now;
		const kept = Math.exp(-elapsed / relaxMilliseconds);
		this.#latencyFactor = 1 + ((this.#latencyFactor - 1) * kept);
		this.#occupancyFactor = 1 + ((this.#occupancyFactor - 1) * kept);
	}

	/** Updates the factors with one completed piece of work. */
	observe({estimatedMilliseconds, actualMilliseconds, occupancyMilliseconds, isSaturated}: Observation, now: number): void {
		this.#relaxedAt = undefined;
		const ratio = clamp(actualMilliseconds / Math.max(1, estimatedMilliseconds));
		this.#latencyFactor += latencySmoothing * (ratio - this.#latencyFactor);
		if (!isSaturated) {
			this.#window = undefined;
			return;
		}

		this.#window = this.#window === undefined
			? {startedAt: now, occupancy: 0}
			: {...this.#window, occupancy: this.#window.occupancy + occupancyMilliseconds};
		const elapsed = now - this.#window.startedAt;
		if (elapsed >= windowMilliseconds && this.#window.occupancy > 0) {
			this.#occupancyFactor += occupancySmoothing * (clamp(elapsed / this.#window.occupancy) - this.#occupancyFactor);
			this.#window = {startedAt: now, occupancy: 0};
		}
	}
}
