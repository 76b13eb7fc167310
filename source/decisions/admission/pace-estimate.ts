/**
Learns how a target's real pace differs from its own account of it.

An engine that shares its memory bandwidth, throttles or is simply slower than
it says would otherwise be given work that ends too late.
*/

const latencySmoothing = 0.05;
const occupancySmoothing = 0.3;
/** Time in which an idle target's factors lose most of their distance from 1. */
const relaxMilliseconds = 2000;
const leastFactor = 0.2;
const mostFactor = 10;
/** Saturated time that one observation of throughput covers. */
const windowMilliseconds = 1000;

type Observation = {
	readonly estimatedMilliseconds: number;
	readonly actualMilliseconds: number;
	readonly occupancyMilliseconds: number;
	/** True when other work waited for the target. */
	readonly isSaturated: boolean;
};

const clamp = (value: number): number => Math.min(mostFactor, Math.max(leastFactor, value));

/**
Two smoothed factors: real latency over estimated latency, and real time over
estimated occupancy while work waits.

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
	Lets the factors fall back towards 1 while the target is idle.

	Without it a factor that rules out all work would never be corrected, because
	nothing would run to correct it.
	*/
	relax(now: number): void {
		const elapsed = Math.max(0, now - (this.#relaxedAt ?? now));
		this.#relaxedAt = now;
		const kept = Math.exp(-elapsed / relaxMilliseconds);
		this.#latencyFactor = 1 + ((this.#latencyFactor - 1) * kept);
		this.#occupancyFactor = 1 + ((this.#occupancyFactor - 1) * kept);
	}

	/** Takes one completed piece of work. */
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
