/**
An engine as the role planner sees it.
*/
import type {EngineRole} from '../../generated/messages.js';

/**
One engine of a service. Tokens count what it would have to finish or hand over
before a change.
*/
export type PlannedEngine = {
	readonly name: string;
	readonly availabilityZone: string;
	readonly role: EngineRole;
	readonly liveTokens: number;
	/** True when it may be given an order now. */
	readonly isReady: boolean;
	readonly isChanging: boolean;
};
