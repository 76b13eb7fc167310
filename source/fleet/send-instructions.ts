/**
How one attempt is to be run by its target.
*/

/**
What the system sets on an attempt, beside the caller's own headers.
*/
export type SendInstructions = {
	readonly targetId: string;
	readonly remainingMilliseconds: number;
	/** 0 is admitted first, 9 last; undefined for plain services. */
	readonly rank: number | undefined;
	/** Only read the prompt, and keep the result for another engine. */
	readonly isPrefillOnly: boolean;
	/** Where the prompt has been read already. */
	readonly handle: {readonly address: string; readonly id: string} | undefined;
	/** Address of an engine that keeps parts of the prompt which this one may lack. */
	readonly fetchFrom: string | undefined;
	/** Continue behind this event. */
	readonly lastEventId: string | undefined;
};
