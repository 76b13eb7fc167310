/**
Estimates what it costs to send a request to a target, in milliseconds.

The last load report is stale, so what this gateway has sent since the report is
added, and the reported queue time is reduced by the time that has passed. The
engine time that the request occupies is part of the cost: an idle engine in an
unsuitable role could answer soon, but would spend more engine time, which other
requests need.
*/
import {tokenTimeShare} from '../admission/token-time-share.js';
import type {RoutedRequest} from './routed-request.js';
import type {TargetView} from './target-view.js';

const millisecondsPerSecond = 1000;
/** Tokens that one piece of engine memory, a block of the KV cache, holds. */
const tokensPerPiece = 2000;
/** Time that one request is assumed to take when the target reports no token rates. */
const assumedCallMilliseconds = 20;
/** Share of the prefill time that is saved when the target has the prefix cached. */
const cachedPrefillSaving = 0.8;
/** Weight of the engine time that a request occupies, relative to its own latency. */
const occupancyWeight = 2;
/** Penalty for waiting for KV-cache memory; it is multiplied by the missing share of the engine's memory. */
const memoryPenaltyMilliseconds = 2000;

const processingMilliseconds = (tokens: number, tokensPerSecond: number): number => tokensPerSecond > 0 ? tokens * millisecondsPerSecond / tokensPerSecond : 0;

/**
Returns the cost in milliseconds; lower is better.

`isCached` is true when the target is assumed to have the request's prefix in its cache.

@example
```
estimateCost(view, request, true, clock());
```
*/
export const estimateCost = (view: TargetView, request: RoutedRequest, isCached: boolean, now: number): number => {
	if (view.load === undefined) {
		return view.outstanding * assumedCallMilliseconds;
	}

	const {load} = view;
	const reportedWait = Math.max(0, load.queueMilliseconds - (now - view.loadAt));
	if (request.kind === 'plain') {
		return reportedWait + ((load.running + view.sentSince) * assumedCallMilliseconds);
	}

	const unreportedWait = processingMilliseconds(view.promptTokensSentSince, load.prefillTokensPerSecond);
	const prefill = processingMilliseconds(request.promptTokens, load.prefillTokensPerSecond) * (isCached ? 1 - cachedPrefillSaving : 1);
	const latency = prefill + (request.outputTokens * load.tokenMilliseconds * tokenTimeShare(load.running + view.sentSince + 1, load.mostRunning));
	const occupancy = prefill + processingMilliseconds(request.outputTokens, load.decodeTokensPerSecond);
	const neededPieces = Math.ceil((request.promptTokens + request.outputTokens) / tokensPerPiece);
	const missingShare = Math.max(0, neededPieces + view.sentSince - load.freePieces) / Math.max(1, load.totalPieces);
	return reportedWait + unreportedWait + latency + (occupancy * occupancyWeight) + (missingShare * memoryPenaltyMilliseconds);
};
