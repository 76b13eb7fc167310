/**
Status of a gateway for operators.
*/
import type {TargetView} from '../decisions/routing/target-view.js';

/**
Body of the answer to `GET /status`: the gateway's own state and its view of targets and sidecars.
*/
export type GatewayStatus = {
	readonly name: string;
	readonly availabilityZone: string;
	readonly incarnation: string;
	readonly ready: boolean;
	/** Generation of the configuration in force at this gateway; 0 without a configuration. */
	readonly generation: number;
	readonly liveRequests: number;
	readonly openLinks: number;
	readonly storeCalls: number;
	/** Number of claims whose stored record still has to be corrected. */
	readonly pendingClaims: number;
	readonly leading: ReadonlyArray<{readonly service: string; readonly fencingNumber: number; readonly orders: Readonly<Record<string, number>>}>;
	readonly targets: readonly TargetView[];
	/** Generation of the configuration in force at each sidecar with an open link, as it reported. */
	readonly sidecarGenerations: Readonly<Record<string, number>>;
	readonly counts: Readonly<Record<string, number>>;
};
