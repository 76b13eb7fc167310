/**
What a gateway tells operators of itself and of what it sees.
*/
import type {TargetView} from '../decisions/routing/target-view.js';

/**
Answer of `GET /status`.
*/
export type GatewayStatus = {
	readonly name: string;
	readonly availabilityZone: string;
	readonly incarnation: string;
	readonly ready: boolean;
	/** Configuration generation in force here; 0 for none. */
	readonly generation: number;
	readonly liveRequests: number;
	readonly openLinks: number;
	readonly storeCalls: number;
	/** Claims whose record still has to be put right. */
	readonly pendingClaims: number;
	readonly leading: ReadonlyArray<{readonly service: string; readonly fencingNumber: number; readonly orders: Readonly<Record<string, number>>}>;
	readonly targets: readonly TargetView[];
	/** Generation that each linked sidecar has said to have in force. */
	readonly sidecarGenerations: Readonly<Record<string, number>>;
	readonly counts: Readonly<Record<string, number>>;
};
