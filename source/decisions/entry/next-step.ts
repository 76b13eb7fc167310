/**
Decides what follows an attempt that did not bring the answer.

Truth comes first: "not run" is said only when no attempt can have run, and a
request that may not be repeated is never sent again once one may have. The
budget comes next: under a fault that hits many requests, sending each again
would double the load just when targets are fewest.
*/

/** Sends that are refused without having run, after which the request is turned away. */
const mostRefusedSends = 3;
/** Sends that never left the gateway; each costs the time of a connection try at most. */
const mostUnsentSends = 6;

type Outcome = 'not sent' | 'not run' | 'unknown' | 'failure';

type Attempts = {
	/** True when running the request twice does no harm. */
	readonly isRepeatable: boolean;
	readonly mostAttempts: number;
	/** Attempts so far that may have run, this one included. */
	readonly ran: number;
	/** Attempts so far that targets refused without running them, this one included. */
	readonly refused: number;
	readonly unsent: number;
	/** What the retry budget says at this moment; true while nothing has reached a target. */
	readonly mayRetry: boolean;
	readonly remainingMilliseconds: number;
};

/**
- `again`: choose a target and send once more.
- `refuse`: final, the request has not run.
- `fail`: final, whether it ran is not known.
- `pass on`: final, the target's own failure.
*/
type Step = 'again' | 'refuse' | 'fail' | 'pass on';

/** Time below which another attempt cannot bring an answer. */
const leastMilliseconds = 20;

const lastStep = (outcome: Outcome, attempts: Attempts): Step => {
	if (outcome === 'failure') {
		return 'pass on';
	}

	return attempts.ran === 0 ? 'refuse' : 'fail';
};

/**
Returns the next step after an attempt with this outcome.

@example
```
nextStep('unknown', {isRepeatable: false, ran: 1, ...}); // 'fail'
```
*/
export const nextStep = (outcome: Outcome, attempts: Attempts): Step => {
	const last = lastStep(outcome, attempts);
	if (attempts.remainingMilliseconds < leastMilliseconds || (attempts.ran > 0 && !attempts.isRepeatable) || attempts.ran >= attempts.mostAttempts) {
		return last;
	}

	switch (outcome) {
		case 'not sent': {
			return attempts.mayRetry && attempts.unsent < mostUnsentSends ? 'again' : last;
		}

		case 'not run': {
			return attempts.mayRetry && attempts.refused < mostRefusedSends ? 'again' : last;
		}

		case 'unknown':
		case 'failure': {
			return attempts.mayRetry ? 'again' : last;
		}
	}
};
