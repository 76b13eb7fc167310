/**
One gateway's view of a target of a plain service at the moment a call is placed.
*/

/**
The figures that are left out are unknown: the target is taken for an ordinary one.
*/
export type CallTarget = {
	readonly id: string;
	readonly availabilityZone: string;
	readonly slots: number;
	/** Calls in progress, of all gateways, or by the target's own account if that is higher. */
	readonly attempts: number;
	readonly isAvoided: boolean;
	readonly failureShare: number;
	/** Relative to the median of the service's targets; 1 when left out. */
	readonly speed?: number | undefined;
	/** Calls at once that it takes without slowing down; the slots when left out. */
	readonly capacity?: number | undefined;
	/** How many times as long as usual work takes at this moment; 1 when left out. */
	readonly slowdown?: number | undefined;
	/** Time of a call at a target of speed 1. */
	readonly callMilliseconds?: number | undefined;
	/** Requests that it may get from this gateway now; undefined while it names no rate limit. */
	readonly permits?: number | undefined;
};
