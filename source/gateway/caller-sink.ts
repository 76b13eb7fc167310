/**
Receiver of the answer to one request.
*/

/**
Writes the answer of a request to its caller. `complete`, `refuse` and `fail` end the answer; no method is called after them.
*/
export type CallerSink = {
	write(text: string): void;
	complete(status: number, finishReason: string, contentType: string): void;
	/** Answers that the request has not run. */
	refuse(code: number, retryAfterMilliseconds: number): void;
	/** Answers that the request may have run, or that its answer is incomplete. */
	fail(code: number): void;
};
