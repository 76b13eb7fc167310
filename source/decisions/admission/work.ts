/**
A piece of work as admission sees it.
*/
import type {Importance} from '../../generated/messages.js';

/**
What admission needs to know of an attempt. `deadlineAt` is on the sidecar's
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
