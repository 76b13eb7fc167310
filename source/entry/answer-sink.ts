/**
Receiver of an answer that is passed on as it arrives.
*/
import type {AnswerFacts} from '../fleet/answer-facts.js';

type Flow = {readonly pause: () => void; readonly resume: () => void};

/**
`head` comes once, then `data` for each piece; `flow` stops and continues the reading from the target.
*/
export type AnswerSink = {
	/** False for an answer that is to be buffered instead; all are passed on when left out. */
	readonly accepts?: (facts: AnswerFacts) => boolean;
	readonly head: (facts: AnswerFacts) => void;
	readonly data: (chunk: Uint8Array, flow: Flow) => void;
	/** Bytes that are kept until more arrives; none when left out. */
	readonly heldBytes?: () => number;
	/** False when what has arrived cannot be a whole answer; asked when its body has ended. `isDelimited` is false when only the end of the connection ended it. */
	readonly mayEnd?: (isDelimited: boolean) => boolean;
};
