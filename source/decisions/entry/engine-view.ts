/**
What one gateway believes of one engine at the moment of a decision.
*/

/**
Sums over all gateways: own attempts, and those that peers told of.
*/
export type EngineView = {
	readonly id: string;
	readonly availabilityZone: string;
	readonly role: 'prefill' | 'decode';
	readonly slots: number;
	/** Attempts under way. */
	readonly attempts: number;
	/** Time that an idle prefill engine would take to read what is yet to be read of these. */
	readonly readMilliseconds: number;
	/** True when its recent outcomes speak against it. */
	readonly isAvoided: boolean;
	/** Share of failures among its recent outcomes. */
	readonly failureShare: number;
};
