/**
What a sidecar does next about attempts.
*/
import type {AttemptMessage, Message} from '../../generated/messages.js';

/**
Effects of one event, carried out in order.
*/
export type AttemptEffect =
	| {readonly kind: 'send'; readonly link: string; readonly message: Message}
	| {readonly kind: 'run'; readonly message: AttemptMessage}
	| {readonly kind: 'stop'; readonly attemptId: string}
	| {readonly kind: 'count'; readonly counter: string};
