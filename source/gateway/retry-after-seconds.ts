/**
Computes the value of the Retry-After header.
*/

const millisecondsPerSecond = 1000;
/** Maximum jitter, as a share of the delay. It spreads the retries of callers that were refused at the same time. */
const jitterRatio = 0.5;

/**
Returns whole seconds, at least 1, with jitter so that refused callers do not retry at the same time.

@example
```
retryAfterSeconds(4000); // 4 to 6
```
*/
export const retryAfterSeconds = (milliseconds: number, random: () => number = Math.random): number =>
	Math.max(1, Math.ceil(milliseconds * (1 + (jitterRatio * random())) / millisecondsPerSecond));
