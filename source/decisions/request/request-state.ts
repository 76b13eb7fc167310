/**
State of one caller's request at a gateway, from acceptance to its final answer.
*/
import type {Option} from 'fp-ts/lib/Option.js';
import type {Importance} from '../../generated/messages.js';

/**
What a gateway knows about a request.

- `choosing`: no attempt is live; the next step picks a target.
- `waiting`: one attempt has been handed to a target.
- `done`: the caller has its final answer or is gone; the state no longer changes.

Invariants: at most one attempt is live, and `mayHaveRun` is false whenever a
non-repeatable request is `choosing`.
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
		/** Sequence number of the last output part of this attempt that was passed to the caller. */
		readonly receivedThrough: number;
		/** False until the frame of the attempt has been handed to an open link. */
		readonly sent: boolean;
	}>;
	readonly attemptCount: number;
	/** Targets that refused or failed this request; chosen again only when no other target is left. */
	readonly triedTargets: readonly string[];
	/** Output already written to the caller; a new attempt continues after it. */
	readonly emitted: string;
	/** Number of output parts written; an engine sends one token in each part. */
	readonly emittedParts: number;
	/** True when an earlier attempt may have run; for the live attempt see its `sent`. */
	readonly mayHaveRun: boolean;
	readonly lastRefusal: Option<{readonly code: number; readonly retryAfterMilliseconds: number}>;
};
