/**
How a target is to run one attempt.
*/

/**
What the gateway sets on an attempt, in addition to the caller's own headers.
*/
export type SendInstructions = {
	readonly targetId: string;
	readonly remainingMilliseconds: number;
	/** Priority for admission: 0 is admitted first, 9 last; undefined for plain services. */
	readonly rank: number | undefined;
	/** True to only prefill the prompt, and to keep its KV cache for another engine. */
	readonly isPrefillOnly: boolean;
	/** KV cache of the prompt at the engine that has prefilled it, undefined when there is none. */
	readonly handle: {readonly address: string; readonly id: string} | undefined;
	/** Address of an engine that has parts of the prompt cached which the target may lack. */
	readonly fetchFrom: string | undefined;
	/** Event after which the stream continues. */
	readonly lastEventId: string | undefined;
};
