/**
Estimates how long an engine takes to prefill a prompt and to transfer its KV cache.

The rates are those learned for the service; until then, the ones of the first deployments.
*/
import type {EngineRates} from '../../capacity/engine-rates.js';
import {startingRates} from '../../capacity/starting-rates.js';

/** Time to set up a transfer between engines. */
const transferSetupMilliseconds = 4;
const crossZoneFactor = 2;

type PrefillRates = Pick<EngineRates, 'tokensPerMillisecond' | 'millisecondsPerMillionPairs'>;

type Transfer = {readonly tokens: number; readonly bytesPerToken: number; readonly linkMegabitsPerSecond: number; readonly isSameZone: boolean};

/**
Estimates, in milliseconds, for an engine of speed 1 that does nothing else.

@example
```
latencyModel.prefill(3720, 13_300); // 94
```
*/
export const latencyModel = {
	/** Time to prefill `uncachedTokens` that follow `cachedTokens` in the prompt. */
	prefill(uncachedTokens: number, cachedTokens: number, {tokensPerMillisecond, millisecondsPerMillionPairs}: PrefillRates = startingRates): number {
		const pairs = uncachedTokens * (cachedTokens + (uncachedTokens / 2));
		return (uncachedTokens / tokensPerMillisecond) + (pairs / 1_000_000 * millisecondsPerMillionPairs);
	},

	/** Time to transfer the KV cache of some tokens to another engine. */
	transfer({tokens, bytesPerToken, linkMegabitsPerSecond, isSameZone}: Transfer): number {
		const bits = tokens * bytesPerToken * 8;
		return transferSetupMilliseconds + (bits / (linkMegabitsPerSecond * 1000) * (isSameZone ? 1 : crossZoneFactor));
	},
} as const;
