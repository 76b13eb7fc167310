/**
How fast the engines of one service work.
*/

/**
Rates of an engine of speed 1. Times are in milliseconds.
*/
export type EngineRates = {
	/** Prompt tokens that an otherwise idle engine prefills in a millisecond. */
	readonly tokensPerMillisecond: number;
	/** Each token attends to all tokens before it: prefill time for a million such pairs. */
	readonly millisecondsPerMillionPairs: number;
	/** How many times as long a prefill takes on a decode engine, where it runs between the decode steps of other requests. */
	readonly inPlaceSlowdown: number;
	/** A decode step generates one token for each running request: its fixed time, and what each request adds. */
	readonly decodeStep: {readonly milliseconds: number; readonly millisecondsPerRequest: number};
};
