/**
A target's entry in the platform's store.
*/

/**
One incarnation of a target. `bornAt` distinguishes restarts under the same id.
*/
export type TargetRecord = {
	readonly id: string;
	/** Identifies this start of the target, across all targets and restarts. */
	readonly incarnation: string;
	readonly bornAt: number;
	readonly service: string;
	/** IP address and port. */
	readonly address: string;
	readonly availabilityZone: string;
	readonly isDraining: boolean;
	/** Requests that it runs concurrently. */
	readonly slots: number;
	/** The inference phase that it serves; undefined for plain services. */
	readonly role: 'prefill' | 'decode' | undefined;
};
