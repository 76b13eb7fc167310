/**
State of one caller's request at a gateway, from acceptance to its final answer.
*/
import type {Option} from 'fp-ts/lib/Option.js';
import type {Importance} from '../../generated/messages.js';

/**
What a gateway knows of a request.

- `choosing`: no attempt is live; the next step picks a target.
- `waiting`: one attempt is with a target.
- `done`: the caller has the final answer; nothing changes it.

Invariant: at most one attempt is live, and a request that may not be repeated
has `mayHaveRun` false whenever it is `choosing`.
*/
export type RequestState = {
	readonly phase: 'choosing' | 'waiting' | 'done';
	readonly requestId: string;
	readonly organisation: string;
	readonly importance: Importance;
	readonly repeatable: boolean;
	readonly streamed: boolean;
	/** On the gateway's monotonic clock, in milliseconds. */
	readonly deadlineAt: number;
	readonly attempt: Option<{
		readonly attemptId: string;
		readonly target: string;
		/** Sequence of the last output passed on from this attempt. */
		readonly receivedThrough: number;
		/** False until the attempt's frame was handed to an open link. */
		readonly sent: boolean;
	}>;
	readonly attemptCount: number;
	/** Targets that refused or failed this request; tried again only when none is left. */
	readonly triedTargets: readonly string[];
	/** Output already written to the caller; a continuation starts behind it. */
	readonly emitted: string;
	/** Parts of output written; an engine sends one token in each. */
	readonly emittedParts: number;
	/** True when an earlier attempt may have run; the live one's part is its `sent`. */
	readonly mayHaveRun: boolean;
	readonly lastRefusal: Option<{readonly code: number; readonly retryAfterMilliseconds: number}>;
};
