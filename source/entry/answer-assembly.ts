/**
Makes one answer for the caller of what the attempts at targets bring.

A relay chooses targets and sends attempts. What arrives, and whether another attempt can help, is
the same whatever serves the request, so it is decided here: for calls by `CallAnswer`, for streams
by `StreamAnswer`.
*/
import type {TargetRecord} from '../fleet/target-record.js';
import type {AttemptOutcome} from './attempt-outcome.js';
import type {AttemptPlan} from './attempt-plan.js';

/**
One instance a request.

@example
```
const {outcome} = sender.send({...plan, ...assembly.createReceivers()});
const result = await outcome;
assembly.recordOutcome?.(result);
const shouldContinue = assembly.handleOutcome(target, result);
```
*/
export type AnswerAssembly = {
	/** True when the request may be sent again although it may have run. */
	readonly isRepeatable: boolean;
	/** Id of the last event that the caller has got, after which the next attempt is to go on; undefined when there is none. */
	readonly lastEventId: string | undefined;
	/** Returns the receivers of the next attempt's answer. */
	readonly createReceivers: () => Pick<AttemptPlan, 'sink' | 'spill'>;
	/** Called just before the first byte of an attempt is sent; left out where only events say that the request began to run. */
	readonly recordSent?: () => void;
	/** Called with the outcome of each attempt, also once the request has ended; left out likewise. */
	readonly recordOutcome?: (outcome: AttemptOutcome) => void;
	/** Handles an outcome unless the request has ended; true when another attempt is to be sent. */
	readonly handleOutcome: (target: TargetRecord, outcome: AttemptOutcome) => boolean;
};
