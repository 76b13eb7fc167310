/**
Counts how many of some requests were served, with more weight on the recent ones.
*/

/** Time after which an outcome counts for a third: about as long as a burst and the calm around it. */
const decayMilliseconds = 10_000;

/**
Outcomes decay exponentially, so the state is two numbers whatever the number of requests.

Invariant: `served` is never above `offered`.

@example
```
const ratio = new ServedRatio();
ratio.record(true, now);
ratio.at(now); // {offered: 1, served: 1}
```
*/
export class ServedRatio {
	#offered = 0;
	#served = 0;
	#updatedAt = 0;

	/** Records one request that was served or refused. */
	record(isServed: boolean, now: number): void {
		const {offered, served} = this.at(now);
		this.#offered = offered + 1;
		this.#served = served + (isServed ? 1 : 0);
		this.#updatedAt = now;
	}

	/** Requests so far, each weighted by its age. */
	at(now: number): {readonly offered: number; readonly served: number} {
		const factor = Math.exp(Math.min(0, this.#updatedAt - now) / decayMilliseconds);
		return {offered: this.#offered * factor, served: this.#served * factor};
	}
}
