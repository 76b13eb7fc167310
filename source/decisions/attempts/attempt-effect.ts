/**
Actions that a sidecar performs for the attempts at its target.
*/
import type {AttemptMessage, Message} from '../../generated/messages.js';

/**
Effects of one event, performed in order.
*/
export type AttemptEffect =
	| {readonly kind: 'send'; readonly link: string; readonly message: Message}
	| {readonly kind: 'run'; readonly message: AttemptMessage}
	| {readonly kind: 'stop'; readonly attemptId: string}
	| {readonly kind: 'count'; readonly counter: string};
