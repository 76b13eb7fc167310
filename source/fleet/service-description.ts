/**
A service of the configuration.
*/

/**
What the operator declares of a service. `engine` is present where its targets serve models.
*/
export type ServiceDescription = {
	readonly name: string;
	/** Connections that one target accepts from all callers together. */
	readonly mostConnections: number;
	readonly engine: {
		/** Requests that one engine runs at once. */
		readonly slots: number;
		readonly cacheTokens: number;
		readonly bytesPerToken: number;
		readonly linkMegabitsPerSecond: number;
	} | undefined;
};
