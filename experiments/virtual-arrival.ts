/**
A request as it comes to a fleet in virtual time.
*/
import type {Importance} from '../source/generated/messages.js';

/**
What its caller sends; the deadline counts from its arrival.
*/
export type VirtualArrival = {
	readonly label: string;
	readonly importance: Importance;
	readonly prompt: string;
	readonly promptTokens: number;
	readonly outputTokens: number;
	readonly deadlineMilliseconds: number;
	readonly organisation: string;
};
