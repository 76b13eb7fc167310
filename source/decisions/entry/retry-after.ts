/**
Computes the delay after which a refused caller may send its request again.

Callers that all come back at the same moment cause the next load peak, so the
delay has random jitter. It is at most a third of the time that the caller has
left, because callers do not respect a longer delay.
*/

const minSeconds = 0.05;
const maxShareOfRemaining = 1 / 3;
const jitter = 0.5;

/**
Returns seconds, with fractions; `wantedMilliseconds` is the time until there is room again.

@example
```
retryAfter({wantedMilliseconds: 400, remainingMilliseconds: 3000, random: Math.random}); // 0.4 to 0.6
```
*/
export const retryAfter = ({wantedMilliseconds, remainingMilliseconds, random}: {readonly wantedMilliseconds: number; readonly remainingMilliseconds: number; readonly random: () => number}): number => {
	const wanted = wantedMilliseconds / 1000 * (1 + (random() * jitter));
	return Math.max(minSeconds, Math.min(wanted, remainingMilliseconds / 1000 * maxShareOfRemaining));
};
