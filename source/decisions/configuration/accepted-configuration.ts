/**
A configuration document that was accepted from an operator.
*/

/**
What is stored under the configuration key.

`generation` grows by one with each accepted document; `submissionId` lets a
submitter whose answer was lost find out whether its write took effect.
*/
export type AcceptedConfiguration = {
	readonly generation: number;
	readonly submissionId: string;
	readonly author: string;
	readonly submittedAt: string;
	/** The document as TOML, exactly as submitted. */
	readonly document: string;
};
