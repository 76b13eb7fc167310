/**
The state of an engine that the planner uses.
*/
import type {EngineRole} from '../../generated/messages.js';

/**
One engine of a service.
*/
export type PlannedEngine = {
	readonly name: string;
	readonly availabilityZone: string;
	readonly role: EngineRole;
	/** Estimate of the work that the engine has to finish or hand over before a change. */
	readonly pendingWork: number;
	/** True when the engine can take an order now. */
	readonly isReady: boolean;
	readonly isChanging: boolean;
};
