/**
Facts from the status line and headers of a target's answer.
*/

/**
Facts by which an answer is classified. `headers` are the ones to forward to the caller.
*/
export type AnswerFacts = {
	readonly status: number;
	/** The request id that the answer carries, or undefined when it carries none. */
	readonly requestId: string | undefined;
	readonly isSigned: boolean;
	/** True when the target reports that it did not run the request. */
	readonly isNotRun: boolean;
	/** True when the address belongs to another target than the one that was addressed. */
	readonly isOtherTarget: boolean;
	readonly isEncoded: boolean;
	readonly headers: Readonly<Record<string, string | readonly string[]>>;
};
