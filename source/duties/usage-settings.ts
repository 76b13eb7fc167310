/**
Settings of the usage reports, in a form that does not depend on the platform.
*/

/**
Times are in milliseconds. A report is due `dueMilliseconds` after the end of its window.
*/
export type UsageSettings = {
	/** Address of the platform's duty interface. */
	readonly address: string;
	/** Calls per second that the interface takes from all gateways together. */
	readonly callsPerSecond: number;
	/** Within this time, the gateways that report must not alternate. */
	readonly leaseMilliseconds: number;
	readonly windowMilliseconds: number;
	readonly dueMilliseconds: number;
};
