/**
Everything that can happen to a request at a gateway.
*/

/**
Events of one request. Times are on the gateway's monotonic clock, in milliseconds.

`mayRetry` carries the retry budget's word at the moment of the event, so that
the decision stays a function of its arguments.
*/
export type RequestEvent =
	| {readonly kind: 'target chosen'; readonly attemptId: string; readonly target: string}
	| {readonly kind: 'no target'; readonly code: number; readonly retryAfterMilliseconds: number}
	| {readonly kind: 'sent'; readonly attemptId: string}
	| {readonly kind: 'unsent'; readonly attemptId: string; readonly mayRetry: boolean}
	| {readonly kind: 'refused'; readonly attemptId: string; readonly code: number; readonly retryAfterMilliseconds: number; readonly mayRetry: boolean}
	| {readonly kind: 'link replaced'; readonly attemptId: string}
	| {readonly kind: 'attempt unknown'; readonly attemptId: string; readonly certainlyNotRun: boolean; readonly mayRetry: boolean}
	| {readonly kind: 'target lost'; readonly attemptId: string; readonly mayRetry: boolean}
	| {readonly kind: 'output'; readonly attemptId: string; readonly sequence: number; readonly text: string}
	| {
		readonly kind: 'finished';
		readonly attemptId: string;
		readonly sequence: number;
		readonly code: number;
		readonly status: number;
		readonly finishReason: string;
		readonly contentType: string;
		readonly mayRetry: boolean;
	}
	| {readonly kind: 'deadline'}
	| {readonly kind: 'caller gone'};
