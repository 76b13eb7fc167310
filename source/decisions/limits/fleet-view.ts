/**
The gateways that one gateway knows of, for decisions that share something among all of them.
*/

/**
Addresses are those on which gateways listen for each other: unlike names, they are known also of
gateways that this one cannot reach.
*/
export type FleetView = {
	readonly own: string;
	/** Gateways that can be reached. */
	readonly linked: ReadonlyArray<{readonly name: string; readonly address: string}>;
	/** All others that may be running, with the time since one was last heard of; infinite for an address from the settings. */
	readonly unlinked: ReadonlyArray<{readonly address: string; readonly ageMilliseconds: number}>;
};
