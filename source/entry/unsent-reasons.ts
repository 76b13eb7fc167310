/**
Reasons for which an attempt is not sent although its target was chosen.
*/
export const unsentReasons = {
	noConnection: 'no free connection',
	targetFull: 'target holds too much',
	rateLimit: 'rate limit of the target',
} as const;
