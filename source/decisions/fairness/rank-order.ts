/**
Orders waiting prompts by several criteria, as one number.
*/

/** Priorities from here on are not told apart. */
const maxPriority = 1023;
/** Above the highest usage level. */
const levels = 32;

type Criteria = {
	/** Priority of the team; 0 is the most urgent. */
	readonly teamPriority: number;
	/** Priority of the route; 0 is the most urgent. */
	readonly priority: number;
	/** True when the prompt's team, kind or size is served too seldom. */
	readonly isExpedited: boolean;
	/** True when its first event can no longer be on time. */
	readonly isLate: boolean;
	/** What its team has used, as `usageLevel` grades it. */
	readonly level: number;
	/** True when its caller was refused before and has come back. */
	readonly isReturning: boolean;
};

const bounded = (priority: number): number => Math.min(maxPriority, Math.max(0, priority));

/**
Returns a number that is lower for prompts that go first. The criteria are compared one after the other, in the order of their declaration.

@example
```
rankOrder({teamPriority: 0, priority: 1, isExpedited: false, isLate: false, level: 3, isReturning: true});
```
*/
export const rankOrder = ({teamPriority, priority, isExpedited, isLate, level, isReturning}: Criteria): number => {
	const byPriority = (bounded(teamPriority) * (maxPriority + 1)) + bounded(priority);
	const byService = (byPriority * 4) + (isExpedited ? 0 : 2) + (isLate ? 1 : 0);
	return (((byService * levels) + level) * 2) + (isReturning ? 0 : 1);
};
