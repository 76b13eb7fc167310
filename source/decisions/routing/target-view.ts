/**
What one gateway believes of one target.
*/
import type {Load} from '../../generated/messages.js';

/**
A target as routing sees it. Times are on the gateway's monotonic clock.
*/
export type TargetView = {
	readonly name: string;
	readonly service: string;
	readonly availabilityZone: string;
	/** The last load heard of, or undefined before the first. */
	readonly load: Load | undefined;
	readonly loadAt: number;
	/** This gateway's live attempts there. */
	readonly outstanding: number;
	/** This gateway's attempts sent since `loadAt`, which the load does not show. */
	readonly sentSince: number;
	readonly promptTokensSentSince: number;
	/** Failures in a row, which lead to ejection. */
	readonly failures: number;
	readonly ejectedUntil: number;
	/** The sidecar's own word that it takes no new work. */
	readonly leaving: boolean;
	/** The VM list's word, which lags. */
	readonly listedLeaving: boolean;
};
