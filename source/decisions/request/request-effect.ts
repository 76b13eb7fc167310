/**
Actions that a gateway performs for a request.
*/

/**
Effects of one decision, performed in order.

- `refuse` and `fail` are final answers. `refuse` says that the request has not run,
  `fail` that it may have run; `fail` can follow output that has already been written.
- `drop` reports that an event was ignored, with the reason.
*/
export type RequestEffect =
	| {readonly kind: 'choose target'; readonly avoid: readonly string[]}
	| {readonly kind: 'send attempt'; readonly attemptId: string; readonly target: string; readonly emitted: string; readonly emittedParts: number}
	| {readonly kind: 'resume attempt'; readonly attemptId: string; readonly receivedThrough: number}
	| {readonly kind: 'acknowledge'; readonly attemptId: string; readonly receivedThrough: number}
	| {readonly kind: 'cancel attempt'; readonly attemptId: string}
	| {readonly kind: 'write'; readonly text: string}
	| {readonly kind: 'complete'; readonly status: number; readonly finishReason: string; readonly contentType: string}
	| {readonly kind: 'refuse'; readonly code: number; readonly retryAfterMilliseconds: number}
	| {readonly kind: 'fail'; readonly code: number}
	| {readonly kind: 'drop'; readonly reason: 'no live attempt' | 'duplicate output' | 'gap in output'};
