/**
One request of a replay, and what became of it.
*/

/**
Times are in milliseconds from the start of the replay. `team` and `gateway` are indexes.
*/
export type ReplayRequest = {
	readonly id: string;
	readonly team: number;
	readonly kind: number;
	readonly tokens: number;
	readonly arrivedAt: number;
	readonly deadlineAt: number;
	readonly gateway: number;
	/** When it was refused. */
	readonly refusals: number[];
	/** When its first event reached its caller; undefined when its caller gave up before. */
	servedAt: number | undefined;
};
