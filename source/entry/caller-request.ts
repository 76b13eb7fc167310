/**
One request of a caller as it was read at the door.
*/
import type {Route} from '../fleet/route.js';
import type {RequestFacts} from '../fleet/request-facts.js';
import type {CallerAnswer} from './caller-answer.js';

/**
`limitAt` is when the final answer is due: the caller's patience or the route's
timeout, whichever ends first, on the gateway's monotonic clock.
*/
export type CallerRequest = {
	readonly facts: RequestFacts;
	readonly route: Route;
	readonly service: string;
	readonly configurationVersion: number;
	readonly method: string;
	readonly path: string;
	readonly body: Uint8Array | undefined;
	readonly answer: CallerAnswer;
	readonly startedAt: number;
	readonly limitAt: number;
};
