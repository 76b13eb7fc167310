/**
State that the role planner keeps between two planning steps of a service.
*/

/**
A fast and a slow moving average of the demand in tokens per second, and whether
a role change is worthwhile. Times are on the leader's monotonic clock.
*/
export type PlannerState = {
	readonly fast: {readonly prefill: number; readonly decode: number};
	readonly slow: {readonly prefill: number; readonly decode: number};
	readonly observedAt: number;
	/** Whether any role change is worthwhile. */
	readonly isChangeWorthwhile: boolean;
	/** Since when `isChangeWorthwhile` has had its present value. */
	readonly unchangedSince: number;
	/** When the last role change was planned. */
	readonly lastChangeAt: number;
};
