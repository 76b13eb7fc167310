/**
How one attempt at one target ended.
*/
import type {AnswerFacts} from '../fleet/answer-facts.js';

/**
- `not sent`: no byte was handed to a connection.
- `not run`: the target said so.
- `unknown`: sent, and it may have run.
- `answer`, `failure`: a whole answer of the target.
- `streamed`: the head and data went to the sink; `isWhole` tells whether it ended as it should.
*/
export type AttemptOutcome =
	| {readonly kind: 'not sent'; readonly reason: string}
	| {readonly kind: 'not run'; readonly isOtherTarget: boolean}
	| {readonly kind: 'unknown'; readonly reason: string}
	| {readonly kind: 'answer'; readonly facts: AnswerFacts; readonly body: Uint8Array}
	| {readonly kind: 'failure'; readonly facts: AnswerFacts; readonly body: Uint8Array}
	| {readonly kind: 'streamed'; readonly isWhole: boolean; readonly reason: string};
