/**
A piece of work in the admission queue.
*/
import type {Importance} from '../../generated/messages.js';

/**
Properties of an attempt that admission depends on. `deadlineAt` is on the sidecar's
monotonic clock, in milliseconds.
*/
export type Work = {
	readonly attemptId: string;
	readonly organisation: string;
	readonly importance: Importance;
	readonly deadlineAt: number;
	readonly promptTokens: number;
	readonly outputTokens: number;
};
