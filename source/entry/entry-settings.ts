/**
Settings of an entry gateway, in a form that does not depend on the platform.
*/

import type {UsageSettings} from '../duties/usage-settings.js';

type Address = {readonly host: string; readonly port: number};

/**
Times are in milliseconds. `peerSeeds` may contain addresses of gateways that are gone.
*/
export type EntrySettings = {
	readonly name: string;
	readonly availabilityZone: string;
	readonly listen: {readonly callers: Address; readonly readiness: Address; readonly peers: Address | undefined};
	/** True only while the whole fleet starts for the first time. */
	readonly isFirstStart: boolean;
	/** Bandwidth of the VM's network link, in megabits per second. */
	readonly linkMegabits: number;
	/** Memory of the VM and descriptors that the process may open, as far as the settings tell. */
	readonly resources?: {readonly memoryMegabytes: number | undefined; readonly descriptors: number | undefined};
	readonly peerSeeds: readonly string[];
	readonly store: {readonly address: string; readonly readsPerSecond: number};
	readonly bounds: {
		/** How often targets renew their entries in the store. */
		readonly heartbeatMilliseconds: number;
		/** Time from the stop signal until the platform kills the process. */
		readonly graceMilliseconds: number;
		readonly retryShare: number;
		readonly retryWindowMilliseconds: number;
		/** Retries per window that all gateways together have in addition to the share; a reserve for what no gateway can determine alone. */
		readonly retryExtra: number;
	};
	/** Undefined where the gateways report no usage. */
	readonly usageReports?: UsageSettings | undefined;
};
