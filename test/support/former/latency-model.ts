/**
As it was before speeds were learned; kept to compare decisions with it.

Estimates how long an engine takes to prefill a prompt and to transfer its KV cache.

The constants are those of the users' engines; docs/CAPACITY.md has the slopes.
*/

/** Prompt tokens that an otherwise idle engine prefills in a millisecond. */
const tokensPerMillisecond = 61.4;
/** Each token attends to all tokens before it: prefill time, in milliseconds, for a million such pairs. */
const millisecondsPerMillionPairs = 0.525;
/** Time to set up a transfer between engines. */
const transferSetupMilliseconds = 4;
const crossZoneFactor = 2;

type Transfer = {readonly tokens: number; readonly bytesPerToken: number; readonly linkMegabitsPerSecond: number; readonly isSameZone: boolean};

/**
Estimates, in milliseconds, for an engine that does nothing else.

@example
```
latencyModel.prefill(3720, 13_300); // 94
```
*/
export const latencyModel = {
	/** Time to prefill `uncachedTokens` that follow `cachedTokens` in the prompt. */
	prefill(uncachedTokens: number, cachedTokens: number): number {
		const pairs = uncachedTokens * (cachedTokens + (uncachedTokens / 2));
		return (uncachedTokens / tokensPerMillisecond) + (pairs / 1_000_000 * millisecondsPerMillionPairs);
	},

	/** Time to transfer the KV cache of some tokens to another engine. */
	transfer({tokens, bytesPerToken, linkMegabitsPerSecond, isSameZone}: Transfer): number {
		const bits = tokens * bytesPerToken * 8;
		return transferSetupMilliseconds + (bits / (linkMegabitsPerSecond * 1000) * (isSameZone ? 1 : crossZoneFactor));
	},
} as const;
