/**
Corrects a target's reported speed by the latency and throughput observed.

Without the correction, an engine that shares its memory bandwidth, throttles or is
slower than it reports would be given work that ends after its deadline.
*/

const latencySmoothing = 0.05;
const occupancySmoothing = 0.3;
/** Time constant with which the factors of an idle target decay towards 1. */
const decayMilliseconds = 2000;
const minFactor = 0.2;
const maxFactor = 10;
/** Time under saturation over which one observation of throughput is taken. */
const throughputWindowMilliseconds = 1000;

type Observation = {
	readonly estimatedMilliseconds: number;
	readonly actualMilliseconds: number;
	readonly occupancyMilliseconds: number;
	/** True when other work was waiting as this work ended. */
	readonly isSaturated: boolean;
};

const clamp = (value: number): number => Math.min(maxFactor, Math.max(minFactor, value));

/**
Keeps two exponentially smoothed factors: observed over estimated latency and, while
work waits, elapsed time over the estimated occupancy of the completed work.

@example
```
speedCorrection.observe({estimatedMilliseconds: 900, actualMilliseconds: 1400, occupancyMilliseconds: 90, isSaturated: true}, now);
```
*/
export class SpeedCorrection {
	#latencyFactor = 1;
	#occupancyFactor = 1;
	#decayedAt: number | undefined;
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
	decay(now: number): void {
		const elapsed = Math.max(0, now - (this.#decayedAt ?? now));
		this.#decayedAt = now;
		const remainingShare = Math.exp(-elapsed / decayMilliseconds);
		this.#latencyFactor = 1 + ((this.#latencyFactor - 1) * remainingShare);
		this.#occupancyFactor = 1 + ((this.#occupancyFactor - 1) * remainingShare);
	}

	/** Updates the factors with one completed piece of work. */
	observe({estimatedMilliseconds, actualMilliseconds, occupancyMilliseconds, isSaturated}: Observation, now: number): void {
		this.#decayedAt = undefined;
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
		if (elapsed >= throughputWindowMilliseconds && this.#window.occupancy > 0) {
			this.#occupancyFactor += occupancySmoothing * (clamp(elapsed / this.#window.occupancy) - this.#occupancyFactor);
			this.#window = {startedAt: now, occupancy: 0};
		}
	}
}
