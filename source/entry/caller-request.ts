/**
One request of a caller, read completely and routed.
*/
import type {Route} from '../fleet/route.js';
import type {RequestFacts} from '../fleet/request-facts.js';
import type {CallerAnswer} from './caller-answer.js';

/**
`deadlineAt` is when the final answer is due, on the gateway's monotonic clock: when the
caller's own timeout or the route's timeout ends, whichever is first.
*/
export type CallerRequest = {
	readonly facts: RequestFacts;
	readonly route: Route;
	readonly service: string;
	/** The team that sent it: 'none' when no teams are configured, 'anonymous' on a public route without a known key. */
	readonly team: {readonly kind: 'none'} | {readonly kind: 'anonymous'} | {readonly kind: 'team'; readonly name: string; readonly priority: number};
	readonly configurationVersion: number;
	readonly method: string;
	readonly path: string;
	readonly body: Uint8Array | undefined;
	readonly answer: CallerAnswer;
	readonly startedAt: number;
	readonly deadlineAt: number;
};
