/**
A prompt that waits at a gateway for an engine.
*/

/**
Times are on the gateway's monotonic clock, in milliseconds.
*/
export type WaitingPrompt = {
	readonly id: string;
	/** Rank of its route; 0 is the most urgent. */
	readonly priority: number;
	/** When its first event should reach the caller. */
	readonly aimAt: number;
	/** When the caller gives up waiting for the first event. */
	readonly giveUpAt: number;
	readonly tokens: number;
	/** The parts that other requests share, their key and size together. */
	readonly sharedParts: ReadonlyArray<{readonly id: string; readonly tokens: number}>;
	readonly sharedKey: string;
	readonly sharedTokens: number;
	readonly bodyBytes: number;
	/** Engines not to be used for it. */
	readonly avoid: ReadonlySet<string>;
	/** True when only engines that make tokens may take it. */
	readonly isInPlaceOnly: boolean;
};
