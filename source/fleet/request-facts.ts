/**
Facts from the headers of a caller's request.
*/

/**
Facts that decisions need. `headers` are the ones to forward, as alternating names and values.
*/
export type RequestFacts = {
	readonly requestId: string;
	/** How long the caller waits, or undefined when the request does not say. */
	readonly patienceMilliseconds: number | undefined;
	readonly prompt: {
		readonly tokens: number;
		/** Parts in order; the last one is specific to the request or its session. */
		readonly parts: ReadonlyArray<{readonly id: string; readonly tokens: number}>;
	} | undefined;
	readonly lastEventId: string | undefined;
	readonly headers: readonly string[];
};
