/**
Decisions of the admission queue about attempts.
*/

/**
`run` starts an attempt now; `refuse` rejects it for good, and it has not run.
*/
export type AdmissionEffect =
	| {readonly kind: 'run'; readonly attemptId: string}
	| {readonly kind: 'refuse'; readonly attemptId: string; readonly code: number; readonly retryAfterMilliseconds: number};
