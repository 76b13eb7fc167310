/**
The rank of a waiting prompt among those of its gateway, for deployments with teams.
*/

/**
Ranks are numbers, as a pass compares some thousands of them.
*/
export type PromptRank = {
	/** As `rankOrder` returns it; prompts with lower values go first. */
	readonly order: number;
	/** The same without what differs between prompts of one kind and usage level. */
	readonly plainOrder: number;
	/** True when its team, kind or size is served too seldom. */
	readonly isExpedited: boolean;
	/** True when the prompt is placed as if it could be on time, because it is expedited, or because less urgent kinds would otherwise pass it. */
	readonly mayBeLate: boolean;
	/** True when the prompt leaves the last of an engine's capacity to prompts of other gateways that may have a higher rank. */
	readonly yields: boolean;
	/** Engine time per millisecond that this gateway gives to higher ranks. */
	readonly rateBefore: number;
};
