/**
Reasons for which this gateway itself closes the connection of an attempt.

An attempt that ends for one of them says nothing of a crash of its target.
*/
export const ownReasons = {
	cancelled: 'broken off by the gateway',
	silent: 'silent',
	tooLarge: 'answer too large',
	interim: 'too many interim answers',
} as const;
