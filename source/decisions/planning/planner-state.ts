/**
What the role planner remembers between two looks at a service.
*/

/**
Smoothed demand in tokens a second, fast and slow, and the change now wanted.
Times are on the leader's monotonic clock.
*/
export type PlannerState = {
	readonly fast: {readonly prefill: number; readonly decode: number};
	readonly slow: {readonly prefill: number; readonly decode: number};
	readonly observedAt: number;
	/** The direction wanted, as `from>to`, and since when. */
	readonly wanted: string;
	readonly wantedSince: number;
	readonly changedAt: number;
};
