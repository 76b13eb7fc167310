/**
Settings of an entry gateway, whatever the platform that wrote them.
*/

type Address = {readonly host: string; readonly port: number};

/**
Times are in milliseconds. `peerSeeds` may be stale.
*/
export type EntrySettings = {
	readonly name: string;
	readonly availabilityZone: string;
	readonly listen: {readonly callers: Address; readonly readiness: Address; readonly peers: Address | undefined};
	/** True only while the fleet as a whole starts for the first time. */
	readonly isFirstStart: boolean;
	/** What the link of the VM carries a second. */
	readonly linkMegabits: number;
	readonly peerSeeds: readonly string[];
	readonly store: {readonly address: string; readonly readsPerSecond: number};
	readonly bounds: {
		/** How often targets renew their entries in the store. */
		readonly heartbeatMilliseconds: number;
		/** From the request to stop until the process is killed. */
		readonly graceMilliseconds: number;
		readonly retryShare: number;
		readonly retryWindowMilliseconds: number;
		/** Retries a window that all gateways together have beside the share; kept for what no gateway can work out alone. */
		readonly retryExtra: number;
	};
};
