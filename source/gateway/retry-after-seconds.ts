/**
Value of the Retry-After header.
*/

const millisecondsPerSecond = 1000;
/** Spreads callers that were refused together over half the time again. */
const spread = 0.5;

/**
Returns whole seconds, at least 1, with jitter so that refused callers do not return together.

@example
```
retryAfterSeconds(4000); // 4 to 6
```
*/
export const retryAfterSeconds = (milliseconds: number, random: () => number = Math.random): number =>
	Math.max(1, Math.ceil(milliseconds * (1 + (spread * random())) / millisecondsPerSecond));
