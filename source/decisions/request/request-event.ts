/**
Events that the state machine of a request at a gateway handles.
*/

/**
Events of one request.

`mayRetry` tells whether the retry budget allows a retry when the event occurs.
The event carries it so that `decideRequest` depends on its arguments alone.
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
