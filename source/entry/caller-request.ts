/**
One request of a caller, read completely and routed.
*/
import type {Route} from '../fleet/route.js';
import type {AccessChange} from '../decisions/teams/access-change.js';
import type {Urgency} from '../decisions/teams/urgency.js';
import type {RequestFacts} from '../fleet/request-facts.js';
import type {RequestTeam} from '../fleet/request-team.js';
import type {CallerAnswer} from './caller-answer.js';

/**
`deadlineAt` is when the final answer is due, on the gateway's monotonic clock: when the
caller's own timeout or the route's timeout ends, whichever is first. `team` is
`none` when no teams are configured, and `anonymous` on a public route without a known key.
*/
export type CallerRequest = {
	readonly facts: RequestFacts;
	readonly route: Route;
	/** Decided once, when the request was routed. */
	readonly team: RequestTeam;
	readonly urgency: Urgency;
	/** Decides by the configuration in force now whether the request may still run. The key itself is known to this function only. */
	readonly recheckAccess: () => AccessChange;
	readonly service: string;
	readonly configurationVersion: number;
	readonly method: string;
	readonly path: string;
	readonly body: Uint8Array | undefined;
	readonly answer: CallerAnswer;
	readonly startedAt: number;
	/** True when its caller sent it before the request before it on the same connection was answered; false when left out. */
	readonly isSentAhead?: boolean;
	readonly deadlineAt: number;
};
