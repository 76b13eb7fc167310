/**
One gateway's view of an engine at the moment of a scheduling decision.
*/

/**
Load is summed over all gateways: the gateway's own attempts, and those that its peers reported.
*/
export type EngineView = {
	readonly id: string;
	readonly availabilityZone: string;
	readonly role: 'prefill' | 'decode';
	readonly slots: number;
	/** Attempts in progress. */
	readonly attempts: number;
	/** Speed relative to the median of the service's engines of its role; 1 when left out. */
	readonly speed?: number;
	/** Prefill backlog of these attempts: the time that an otherwise idle prefill engine of speed 1 would need for it. */
	readonly readMilliseconds: number;
	/** True while outlier detection avoids the engine because of its recent failures. */
	readonly isAvoided: boolean;
	/** Share of failures among its recent outcomes. */
	readonly failureShare: number;
	/** Requests that it may get from this gateway now; undefined while it names no rate limit. */
	readonly permits?: number | undefined;
	/** Requests a second that it is likely to take from this gateway; undefined while it names no rate limit. */
	readonly permitsPerSecond?: number | undefined;
};
