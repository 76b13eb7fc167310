/**
A prompt that waits at a gateway until an engine has capacity for it.
*/

/**
Times are in milliseconds on the gateway's monotonic clock.
*/
export type WaitingPrompt = {
	readonly id: string;
	/** The team that it counts for, undefined when no teams are configured. */
	readonly team: string | undefined;
	/** Priority of its team, which precedes that of its route; 0 is the most urgent, and the value without teams. */
	readonly teamPriority: number;
	/** The kind of request: the name of its route. */
	readonly kind: string;
	/** Priority of its route; 0 is the most urgent. */
	readonly priority: number;
	/** When its first event is due at the caller, by the latency target of its route. */
	readonly dueAt: number;
	/** When the caller gives up waiting for the first event. */
	readonly giveUpAt: number;
	readonly tokens: number;
	/** The parts shared with other requests; `sharedKey` and `sharedTokens` are their key and size together. */
	readonly sharedParts: ReadonlyArray<{readonly id: string; readonly tokens: number}>;
	readonly sharedKey: string;
	readonly sharedTokens: number;
	readonly bodyBytes: number;
	/** Engines that must not be used for it. */
	readonly avoid: ReadonlySet<string>;
	/** True when only decode engines may take it. */
	readonly isInPlaceOnly: boolean;
};
