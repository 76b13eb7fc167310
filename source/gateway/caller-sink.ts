/**
Where the answer of one request goes.
*/

/**
The caller's end of a request. After `complete`, `refuse` or `fail` nothing more is called.
*/
export type CallerSink = {
	write(text: string): void;
	complete(status: number, finishReason: string, contentType: string): void;
	/** The request has not run. */
	refuse(code: number, retryAfterMilliseconds: number): void;
	/** The request may have run, or its answer is not whole. */
	fail(code: number): void;
};
