/**
What a target says of itself in the platform's list.
*/

/**
One incarnation of a target. `bornAt` tells restarts under the same id apart.
*/
export type TargetRecord = {
	readonly id: string;
	/** Tells this start of the target from all others. */
	readonly incarnation: string;
	readonly bornAt: number;
	readonly service: string;
	/** IP number and port. */
	readonly address: string;
	readonly availabilityZone: string;
	readonly isDraining: boolean;
	/** Requests that it runs at once. */
	readonly slots: number;
	/** The part of a model's work that it takes; undefined for plain services. */
	readonly role: 'prefill' | 'decode' | undefined;
};
