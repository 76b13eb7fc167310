/**
Compares the ranks of two waiting prompts.
*/
import type {PromptRank} from './prompt-rank.js';

type ComparedRank = Omit<PromptRank, 'mayBeLate' | 'rateBefore'>;

/**
Returns a negative number when the first goes before the second, and 0 when other criteria decide.

@example
```
prompts.toSorted((first, second) => compareRanks(ranks.get(first)!, ranks.get(second)!));
```
*/
export const compareRanks = (first: ComparedRank, second: ComparedRank): number => first.teamPriority - second.teamPriority
	|| first.priority - second.priority
	|| Number(second.isExpedited) - Number(first.isExpedited)
	|| Number(first.isLate) - Number(second.isLate)
	|| first.level - second.level
	|| Number(second.isReturning) - Number(first.isReturning);
