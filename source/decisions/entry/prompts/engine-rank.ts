/**
Ranks a request in the queue of its engine.
*/
import type {Urgency} from '../../teams/urgency.js';

/** Rank of the most urgent route; the priority of the route is added. */
const baseRank = {onTime: 2, late: 6} as const;
const maxRank = 9;
/** Ranks of requests that have a team: late work still ranks after all work that can be on time. */
const teamRanks = {onTime: {first: 0, count: 6}, late: {first: 6, count: 4}} as const;

/**
Returns the rank from 0, the most urgent, to 9. Late work ranks after all work that can be on time.

With teams, neighbouring levels share a rank if there are more levels than ranks.

@example
```
engineRank('onTime', {order: 1, levels: undefined}); // 3
```
*/
export const engineRank = (lane: keyof typeof baseRank, {order, levels}: Urgency): number => {
	if (levels === undefined) {
		return Math.min(maxRank, baseRank[lane] + order);
	}

	const {first, count} = teamRanks[lane];
	return first + (levels <= count ? order : Math.floor(order * count / levels));
};
