/**
Decides when a refused caller may come back.

Callers that all come back at the same moment make the next peak, so the time is
spread. It never takes more than a third of the time that the caller has left,
as callers do not heed more than that.
*/

const leastSeconds = 0.05;
const shareOfRemaining = 1 / 3;
const spread = 0.5;

/**
Returns seconds, with fractions; `wantedMilliseconds` is when there will be room.

@example
```
retryAfter({wantedMilliseconds: 400, remainingMilliseconds: 3000, random: Math.random}); // 0.4 to 0.6
```
*/
export const retryAfter = ({wantedMilliseconds, remainingMilliseconds, random}: {readonly wantedMilliseconds: number; readonly remainingMilliseconds: number; readonly random: () => number}): number => {
	const wanted = wantedMilliseconds / 1000 * (1 + (random() * spread));
	return Math.max(leastSeconds, Math.min(wanted, remainingMilliseconds / 1000 * shareOfRemaining));
};
