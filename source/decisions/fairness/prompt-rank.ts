/**
The rank of a waiting prompt among those of its gateway, for deployments with teams.
*/

/**
Compared field by field in this order; lower values go first, and of `isExpedited` and `isReturning` true.
*/
export type PromptRank = {
	/** Priority of the team; 0 is the most urgent. */
	readonly teamPriority: number;
	/** Priority of the route; 0 is the most urgent. */
	readonly priority: number;
	/** True when its team, kind or size is served too seldom. */
	readonly isExpedited: boolean;
	/** True when its first event can no longer be on time. */
	readonly isLate: boolean;
	/** What the team has used against its share, as `usageLevel` grades it, with the prompts that wait before this one. */
	readonly level: number;
	/** True when its caller was refused before and has come back. */
	readonly isReturning: boolean;
	/** Not compared: true when the prompt is placed as if it could be on time, because it is expedited, or because less urgent kinds would otherwise pass it. */
	readonly mayBeLate: boolean;
	/** Not compared: engine time per millisecond that this gateway gives to higher ranks. */
	readonly rateBefore: number;
};
