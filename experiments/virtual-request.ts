/**
A request in virtual time, and what became of it.
*/
import type {VirtualArrival} from './virtual-arrival.js';

/**
Times are in milliseconds of the fleet's clock; `firstAt` is 0 before the first token.
*/
export type VirtualRequest = VirtualArrival & {
	readonly number: number;
	readonly gateway: number;
	readonly arrivedAt: number;
	attempts: number;
	readonly avoid: string[];
	firstAt: number;
	lastAt: number;
	readonly gaps: number[];
	ending: 'open' | 'answered' | 'not run' | 'lost';
	target: string;
};
