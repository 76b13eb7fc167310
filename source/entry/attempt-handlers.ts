/**
Receivers of what happens to one attempt on its connection.
*/
import type {ConnectionHistory} from '../fleet/connection-history.js';

/**
How an attempt ended on its connection: `not sent` only if no byte of it was written.
*/
type AttemptEnd =
	| {readonly kind: 'complete'}
	| {readonly kind: 'not sent'; readonly reason: string}
	| {readonly kind: 'broken'; readonly reason: string};

/**
`onHead` and `onData` come in the order of the answer; `onEnd` is called exactly once, and last.
*/
export type AttemptHandlers = {
	/** Called just before the first byte is written; false stops the attempt from being sent. */
	readonly mayStart: () => boolean;
	/** `history` says what the connection had carried before this attempt. */
	readonly onHead: (status: number, headers: Readonly<Record<string, string | readonly string[] | undefined>>, history: ConnectionHistory) => void;
	/** Called for all bytes of the body that have arrived together. */
	readonly onData: (chunk: Uint8Array, flow: {readonly pause: () => void; readonly resume: () => void}) => void;
	readonly onEnd: (end: AttemptEnd) => void;
};
