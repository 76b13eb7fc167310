/**
Computes the delay after which a refused caller may send its request again.

Callers that all come back at the same moment cause the next load peak, so the
delay has random jitter. It is at most a third of the time that the caller has
left, because callers do not respect a longer delay.

A delay that was already spread by a schedule gets no jitter, which would mix up its order.
Above half of the limit it is compressed, not cut off, as all callers above the limit would
otherwise come back together.
*/

const minSeconds = 0.05;
const maxShareOfRemaining = 1 / 3;
const jitter = 0.5;

type Refusal = {
	readonly wantedMilliseconds: number;
	readonly remainingMilliseconds: number;
	/** True when the delays of several callers are spread already. */
	readonly isSpread?: boolean;
	readonly random: () => number;
};

/** Returns a delay below the limit that still grows with the one wanted. */
const compress = (wanted: number, limit: number): number => {
	const half = limit / 2;
	return wanted <= half ? wanted : half + (half * (1 - Math.exp((half - wanted) / half)));
};

/**
Returns seconds, with fractions; `wantedMilliseconds` is the time until there is room again.

@example
```
retryAfter({wantedMilliseconds: 400, remainingMilliseconds: 3000, random: Math.random}); // 0.4 to 0.6
```
*/
export const retryAfter = ({wantedMilliseconds, remainingMilliseconds, isSpread = false, random}: Refusal): number => {
	const wanted = wantedMilliseconds / 1000;
	const limit = remainingMilliseconds / 1000 * maxShareOfRemaining;
	return Math.max(minSeconds, isSpread ? compress(wanted, limit) : Math.min(wanted * (1 + (random() * jitter)), limit));
};
