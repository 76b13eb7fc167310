/**
What is to be sent to a target in one attempt, and who receives the answer.
*/
import type {RequestFacts} from '../fleet/request-facts.js';
import type {SendInstructions} from '../fleet/send-instructions.js';
import type {TargetRecord} from '../fleet/target-record.js';
import type {AnswerSink} from './answer-sink.js';
import type {LoadEntry} from './load-entry.js';

/**
Times are in milliseconds.
*/
export type AttemptPlan = {
	readonly target: TargetRecord;
	readonly facts: RequestFacts;
	readonly method: string;
	readonly path: string;
	readonly body: Uint8Array | undefined;
	readonly instructions: SendInstructions;
	/** Estimated time of the target to prefill the prompt. */
	readonly readMilliseconds: number;
	/** Its entry in the load tracker, if one was reserved. */
	readonly entry?: LoadEntry;
	/** True when its caller did not wait for an answer before it sent the request. */
	readonly isSentAhead?: boolean | undefined;
	/** True when a permit was taken for it with its placement, which a target with a rate limit needs. */
	readonly hasPermit?: boolean;
	/** Time within which the target is expected to send something; 0 when left out. */
	readonly expectedMilliseconds?: number;
	/** Time until the answer is due. The attempt is aborted if the target is silent after that; never when left out. */
	readonly answerDueMilliseconds?: number;
	/** Called as the last check before the first byte is written; false stops the attempt from being sent. */
	readonly mayStart?: () => boolean;
	/** Receives an answer as it arrives, if it accepts it; without it, answers are buffered. */
	readonly sink?: AnswerSink;
	/** Returns the sink for a buffered answer that has become too large to buffer. */
	readonly spill?: () => AnswerSink;
};
