/**
Everything that can happen to attempts at a sidecar.
*/
import type {AttemptMessage} from '../../generated/messages.js';

/**
Events of the attempts at one target. `link` names the connection that an event came over.
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
	/** No new work until `return`; what waits is refused. */
	| {readonly kind: 'empty'}
	| {readonly kind: 'return'}
	/** No new work ever again in this process. */
	| {readonly kind: 'leave'};
