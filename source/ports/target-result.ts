/**
Result of a call to a target.
*/

/**
`code` 0 means that the answer was received completely. Codes 1xxx mean that the target
has not run the request.
*/
export type TargetResult = {
	readonly code: number;
	readonly status: number;
	readonly finishReason: string;
	readonly contentType: string;
};
