/**
What one gateway knows about one target; it may be out of date.
*/
import type {Load} from '../../generated/messages.js';

/**
One target with its load and failures as last seen by this gateway. Times are on the gateway's monotonic clock.
*/
export type TargetView = {
	readonly name: string;
	readonly service: string;
	readonly availabilityZone: string;
	/** The last load report, or undefined before the first. */
	readonly load: Load | undefined;
	/** When the last load report was received. */
	readonly loadAt: number;
	/** Number of this gateway's attempts at the target that have not ended. */
	readonly outstanding: number;
	/** Number of attempts that this gateway has sent since `loadAt`, which `load` does not include. */
	readonly sentSince: number;
	/** Prompt tokens of these attempts. */
	readonly promptTokensSentSince: number;
	/** Number of failures in a row. */
	readonly failures: number;
	/** Until then the target gets no requests, unless too few others are left. */
	readonly ejectedUntil: number;
	/** True when the target's sidecar says that it takes no new work. */
	readonly leaving: boolean;
	/** True when the VM list says that the target is leaving; the list lags behind the sidecar. */
	readonly listedLeaving: boolean;
};
