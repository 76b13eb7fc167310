/**
A service of the configuration.
*/

/**
What the operator declares for a service. `engine` is present if its targets serve models.
*/
export type ServiceDescription = {
	readonly name: string;
	/** Maximum number of connections that one target accepts from all callers together. */
	readonly mostConnections: number;
	readonly engine: {
		/** Requests that one engine runs concurrently. */
		readonly slots: number;
		readonly cacheTokens: number;
		readonly bytesPerToken: number;
		readonly linkMegabitsPerSecond: number;
	} | undefined;
};
