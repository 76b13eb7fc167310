/**
What a gateway does next for a request.
*/

/**
Effects of one decision, carried out in order.

- `refuse` and `fail` are final answers; `fail` may follow output already written.
- `drop` records an event that belongs to no live attempt.
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
