/**
Decides what happens after an attempt that returned no answer.

Correctness comes first: a request is reported as not run only if no attempt can
have run, and a request that is not repeatable is never sent again once an attempt
may have run. The retry budget comes second: during a fault that hits many requests,
retrying every one of them would double the load just when the fewest targets are left.
*/

/** Attempts that targets refuse without running them, after which the request is refused. */
const maxRefusedAttempts = 3;
/** Attempts that never left the gateway. Each costs at most the time of one connection attempt. */
const maxUnsentAttempts = 6;

type Outcome = 'not sent' | 'not run' | 'unknown' | 'failure';

type Attempts = {
	/** True when the request may run twice without harm. */
	readonly isRepeatable: boolean;
	readonly mostAttempts: number;
	/** Attempts so far that may have run, this one included. */
	readonly ran: number;
	/** Attempts so far that targets refused without running them, this one included. */
	readonly refused: number;
	/** Attempts so far that never left the gateway, this one included. */
	readonly unsent: number;
	/** Whether the retry budget allows a retry now; always true until an attempt has reached a target. */
	readonly mayRetry: boolean;
	readonly remainingMilliseconds: number;
};

/**
- `again`: choose a target and send another attempt.
- `refuse`: final; the request has not run.
- `fail`: final; whether the request ran is unknown.
- `pass on`: final; the caller gets the target's failure.
*/
type Step = 'again' | 'refuse' | 'fail' | 'pass on';

/** With less time than this, another attempt cannot return an answer. */
const minAttemptMilliseconds = 20;

const finalStep = (outcome: Outcome, attempts: Attempts): Step => {
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
	const final = finalStep(outcome, attempts);
	if (attempts.remainingMilliseconds < minAttemptMilliseconds || (attempts.ran > 0 && !attempts.isRepeatable) || attempts.ran >= attempts.mostAttempts) {
		return final;
	}

	switch (outcome) {
		case 'not sent': {
			return attempts.mayRetry && attempts.unsent < maxUnsentAttempts ? 'again' : final;
		}

		case 'not run': {
			return attempts.mayRetry && attempts.refused < maxRefusedAttempts ? 'again' : final;
		}

		case 'unknown':
		case 'failure': {
			return attempts.mayRetry ? 'again' : final;
		}
	}
};
