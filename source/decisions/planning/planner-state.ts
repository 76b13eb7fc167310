/**
What the role planner remembers between two looks at a service.
*/

/**
Smoothed demand in tokens a second, fast and slow, and whether a change is wanted.
Times are on the leader's monotonic clock.
*/
export type PlannerState = {
	readonly fast: {readonly prefill: number; readonly decode: number};
	readonly slow: {readonly prefill: number; readonly decode: number};
	readonly observedAt: number;
	/** Whether some change pays, and since when that has not varied. */
	readonly isWanted: boolean;
	readonly wantedSince: number;
	readonly changedAt: number;
};
