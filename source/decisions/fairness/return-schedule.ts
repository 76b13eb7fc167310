/**
Decides when refused callers come back.

In a burst, hundreds of callers are refused within a second. If all were told the time at
which there is capacity, they would come back together and be refused again. So each gets
its own time, later by the work of those that were refused before.
*/

/** No caller is told to come back later than this, as its deadline would have passed. */
const maxDelayMilliseconds = 10_000;

type Refused = {
	/** Time until there is likely to be capacity. */
	readonly waitMilliseconds: number;
	/** Time that this gateway's share of the engines needs for the request. */
	readonly workMilliseconds: number;
};

/**
The schedule of one service at one gateway.

Invariant: a caller that is refused later is never told to come back earlier, up to the longest delay.

@example
```
schedule.delay({waitMilliseconds: 400, workMilliseconds: 30}, now); // 400
schedule.delay({waitMilliseconds: 400, workMilliseconds: 30}, now); // 430
```
*/
export class ReturnSchedule {
	#nextAt = 0;

	/** Returns the time, in milliseconds, after which a refused caller is to come back. */
	delay({waitMilliseconds, workMilliseconds}: Refused, now: number): number {
		const returnAt = Math.min(now + maxDelayMilliseconds, Math.max(now + waitMilliseconds, this.#nextAt));
		this.#nextAt = returnAt + workMilliseconds;
		return returnAt - now;
	}
}
