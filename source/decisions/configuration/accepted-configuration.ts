/**
A configuration document that an operator submitted and the store accepted.
*/

/**
The record that is stored under the configuration key.

`generation` increases by one with each accepted document. `submissionId` lets a
submitter that got no answer find out whether its write took effect.
*/
export type AcceptedConfiguration = {
	readonly generation: number;
	readonly submissionId: string;
	readonly author: string;
	readonly submittedAt: string;
	/** The document as TOML, exactly as submitted. */
	readonly document: string;
};
