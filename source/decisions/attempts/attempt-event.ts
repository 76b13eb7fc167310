/**
Events that the attempt table of a sidecar handles.
*/
import type {AttemptMessage} from '../../generated/messages.js';

/**
Events of the attempts at one target. `link` identifies the connection on which an event arrived.
*/
export type AttemptEvent =
	| {readonly kind: 'attempt arrived'; readonly link: string; readonly message: AttemptMessage}
	| {readonly kind: 'resume'; readonly link: string; readonly attemptId: string; readonly receivedThrough: number}
	| {readonly kind: 'acknowledge'; readonly attemptId: string; readonly receivedThrough: number}
	| {readonly kind: 'cancel'; readonly attemptId: string}
	| {readonly kind: 'link closed'; readonly link: string}
	| {readonly kind: 'target output'; readonly attemptId: string; readonly text: string}
	| {readonly kind: 'target finished'; readonly attemptId: string; readonly code: number; readonly status: number; readonly finishReason: string; readonly contentType: string}
	| {readonly kind: 'tick'}
	/** Stops admission until `return` and refuses the waiting attempts, so that the target becomes idle. */
	| {readonly kind: 'empty'}
	| {readonly kind: 'return'}
	/** Stops admission for the rest of this process and refuses the waiting attempts. */
	| {readonly kind: 'leave'};
