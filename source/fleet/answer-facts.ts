/**
What the head of a target's answer says.
*/

/**
Facts by which an answer is judged. `headers` are those to pass on to the caller.
*/
export type AnswerFacts = {
	readonly status: number;
	/** The request that the answer names, or undefined when it names none. */
	readonly requestId: string | undefined;
	readonly isSigned: boolean;
	/** True when the target says that it did not run the request. */
	readonly isNotRun: boolean;
	/** True when another target has the address. */
	readonly isOtherTarget: boolean;
	readonly isEncoded: boolean;
	readonly headers: Readonly<Record<string, string | readonly string[]>>;
};
