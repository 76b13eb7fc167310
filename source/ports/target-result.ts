/**
How a call to a target ended.
*/

/**
`code` 0 means that the whole answer came; codes 1xxx mean that the target never
took the request.
*/
export type TargetResult = {
	readonly code: number;
	readonly status: number;
	readonly finishReason: string;
	readonly contentType: string;
};
