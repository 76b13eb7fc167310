/**
What the headers of a caller's request say.
*/

/**
Facts that decisions need. `headers` are those to pass on, as alternating names and values.
*/
export type RequestFacts = {
	readonly requestId: string;
	/** How long the caller waits, or undefined when it does not say. */
	readonly patienceMilliseconds: number | undefined;
	readonly prompt: {
		readonly tokens: number;
		/** Parts in order; the last belongs to the request or its session. */
		readonly parts: ReadonlyArray<{readonly id: string; readonly tokens: number}>;
	} | undefined;
	readonly lastEventId: string | undefined;
	readonly headers: readonly string[];
};
