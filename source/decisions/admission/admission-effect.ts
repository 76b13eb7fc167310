/**
What admission decides about work.
*/

/**
Either the work starts now, or it is refused for good and has not run.
*/
export type AdmissionEffect =
	| {readonly kind: 'run'; readonly attemptId: string}
	| {readonly kind: 'refuse'; readonly attemptId: string; readonly code: number; readonly retryAfterMilliseconds: number};
