/**
Estimated time until a target would have served a request.

The last report is stale, so the gateway's own sends since then are added, and
the reported queue is taken as drained by the time that has passed. An engine
whose role suits the request poorly may answer it soon while idle, but at the
price of engine time that others need, so that time counts too.
*/
import {tokenTimeShare} from '../admission/token-time-share.js';
import type {RoutedRequest} from './routed-request.js';
import type {TargetView} from './target-view.js';

const millisecondsPerSecond = 1000;
const tokensPerPiece = 2000;
/** Milliseconds that a request is taken to add where no speed is known. */
const assumedCallMilliseconds = 20;
/** Share of a cached prefix's prefill that is saved. */
const cachedShare = 0.8;
/** What the engine time that a request takes from others counts against its own latency. */
const occupancyWeight = 2;
/** Penalty for work that would wait for engine memory. */
const memoryMilliseconds = 2000;

const cost = (tokens: number, tokensPerSecond: number): number => tokensPerSecond > 0 ? tokens * millisecondsPerSecond / tokensPerSecond : 0;

/**
Returns the cost in milliseconds; lower is better.

`isCached` says that this target is taken to hold the request's prefix.

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

	const ownWait = cost(view.promptTokensSentSince, load.prefillTokensPerSecond);
	const prefill = cost(request.promptTokens, load.prefillTokensPerSecond) * (isCached ? 1 - cachedShare : 1);
	const latency = prefill + (request.outputTokens * load.tokenMilliseconds * tokenTimeShare(load.running + view.sentSince + 1, load.mostRunning));
	const occupancy = prefill + cost(request.outputTokens, load.decodeTokensPerSecond);
	const needed = Math.ceil((request.promptTokens + request.outputTokens) / tokensPerPiece);
	const lacking = Math.max(0, needed + view.sentSince - load.freePieces) / Math.max(1, load.totalPieces);
	return reportedWait + ownWait + latency + (occupancy * occupancyWeight) + (lacking * memoryMilliseconds);
};
