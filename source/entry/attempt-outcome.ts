/**
The outcome of one attempt at one target.
*/
import type {AnswerFacts} from '../fleet/answer-facts.js';

/**
- `not sent`: no byte of it was written to a connection.
- `not run`: the target says that it did not run the request; with `isOtherTarget`, because the address belongs to another target now.
- `unknown`: it was sent and may have run.
- `answer`, `failure`: a complete answer of the target, a success or its own failure.
- `streamed`: the head and data were passed to the sink as they arrived; `isWhole` is false if the answer ended early.
*/
export type AttemptOutcome =
	| {readonly kind: 'not sent'; readonly reason: string}
	| {readonly kind: 'not run'; readonly isOtherTarget: boolean}
	| {readonly kind: 'unknown'; readonly reason: string}
	| {readonly kind: 'answer'; readonly facts: AnswerFacts; readonly body: Uint8Array}
	| {readonly kind: 'failure'; readonly facts: AnswerFacts; readonly body: Uint8Array}
	| {readonly kind: 'streamed'; readonly isWhole: boolean; readonly reason: string};
