/**
Ranks the prompts that wait at one gateway, so that each team gets its share of the engines.

A large team's burst fills a queue with hundreds of its prompts. All of them have the same
usage so far, and if that decided, all would be sent before the usage is charged. So each
prompt counts as if those of its team that are due before it had been sent.
*/
import type {WaitingPrompt} from '../entry/prompts/waiting-prompt.js';
import type {PromptRank} from './prompt-rank.js';
import {rankOrder} from './rank-order.js';
import {usageLevel} from './usage-level.js';

/** Prompts of one queue that are expedited at a time. More, while no engine can take them, would keep the others from being compared. */
const maxExpedited = 4;
const mostUrgent = 0;

type RankContext = {
	/** Engine time that a team has used. */
	readonly usedBy: (team: string) => number;
	readonly shareMilliseconds: number;
	/** True when a team is served too seldom. */
	readonly isBelowFloor: (team: string) => boolean;
	/** True when the prompt's kind or size is served too seldom. */
	readonly isNeglected: (prompt: WaitingPrompt) => boolean;
	/** True when less urgent kinds than those of a priority are in use. */
	readonly precedesKinds: (priority: number) => boolean;
	readonly isTimely: (prompt: WaitingPrompt) => boolean;
	/** Engine time per millisecond that this gateway gives to ranks before this one. */
	readonly rateBefore: (plainOrder: number) => number;
	readonly isReturning: (prompt: WaitingPrompt) => boolean;
	/** Engine time that the prompt is expected to use. */
	readonly costOf: (prompt: WaitingPrompt) => number;
};

const byDueTime = (first: WaitingPrompt, second: WaitingPrompt): number => first.teamPriority - second.teamPriority || first.priority - second.priority || first.dueAt - second.dueAt;

/**
Returns the rank of each prompt; the cost depends on the prompts, not on the number of teams.

@example
```
const ranks = rankPrompts(waiting, context);
waiting.toSorted((first, second) => ranks.get(first)!.order - ranks.get(second)!.order);
```
*/
export const rankPrompts = (waiting: readonly WaitingPrompt[], context: RankContext): ReadonlyMap<WaitingPrompt, PromptRank> => {
	const usedByTeam = new Map<string, number>();
	const leastUrgentTeam = waiting.reduce((least, {teamPriority}) => Math.max(least, teamPriority), mostUrgent);
	let expedited = 0;
	const rankOf = (prompt: WaitingPrompt): PromptRank => {
		const {team = '', priority} = prompt;
		const usedBefore = usedByTeam.get(team);
		const used = usedBefore ?? context.usedBy(team);
		usedByTeam.set(team, used + context.costOf(prompt));
		// Only the first prompt of a team can lift it to the floor; its outcome counts before the next pass.
		const isTeamExpedited = expedited < maxExpedited && usedBefore === undefined && context.isBelowFloor(team);
		const isExpedited = isTeamExpedited || (expedited < maxExpedited && context.isNeglected(prompt));
		expedited += isExpedited ? 1 : 0;
		const teamPriority = isTeamExpedited ? mostUrgent : prompt.teamPriority;
		const level = usageLevel(used, context.shareMilliseconds);
		const plainOrder = rankOrder({
			teamPriority, priority, level, isExpedited: false, isLate: false, isReturning: false,
		});
		// Otherwise prompts of less urgent teams that can still be on time would pass it.
		const precedesTeams = teamPriority < leastUrgentTeam;
		const mayBeLate = isExpedited || precedesTeams || context.precedesKinds(priority);
		return {
			order: rankOrder({
				teamPriority, priority, level, isExpedited, isLate: !context.isTimely(prompt), isReturning: context.isReturning(prompt),
			}),
			plainOrder,
			isExpedited,
			mayBeLate,
			yields: level > 0 && !mayBeLate,
			rateBefore: context.rateBefore(plainOrder),
		};
	};

	return new Map(waiting.toSorted(byDueTime).map(prompt => [prompt, rankOf(prompt)]));
};
