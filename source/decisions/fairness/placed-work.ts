/**
Measures how much engine time prompts of each rank take, as a prediction of what will go
before a waiting prompt.

In an overload, a prompt of low rank waits not only for those before it in the queue, but
for all of higher rank that arrive meanwhile. By the queue alone it would seem servable, and
be refused only after it has waited for most of its caller's patience.
*/
import {compareRanks} from './compare-ranks.js';

type Rank = Parameters<typeof compareRanks>[0];

/** Time after which placed work counts for a third. */
const decayMilliseconds = 1500;
/** Upper bound of the ranks that are kept apart; there are some twenty levels for each priority. */
const maxRanks = 256;
/** Less work than this is forgotten. */
const minMilliseconds = 0.01;

type Work = {readonly rank: Rank; milliseconds: number; updatedAt: number};

const decayed = ({milliseconds, updatedAt}: Work, now: number): number => milliseconds * Math.exp((updatedAt - now) / decayMilliseconds);

const keyOf = ({teamPriority, priority, level}: Rank): string => `${teamPriority} ${priority} ${level}`;

/** Without what differs between prompts of one team and kind. */
const plainRank = ({teamPriority, priority, level}: Rank): Rank => ({
	teamPriority, priority, level, isExpedited: false, isLate: false, isReturning: false,
});

/**
The work that one gateway has placed recently.

@example
```
work.record(rank, 94, now);
work.rateBefore(rank, now); // engine time per millisecond that goes to higher ranks
```
*/
export class PlacedWork {
	readonly #byRank = new Map<string, Work>();

	record(rank: Rank, milliseconds: number, now: number): void {
		const key = keyOf(rank);
		const known = this.#byRank.get(key);
		if (known === undefined && this.#byRank.size >= maxRanks) {
			this.#forgetOld(now);
		}

		this.#byRank.set(key, {rank: plainRank(rank), milliseconds: milliseconds + (known === undefined ? 0 : decayed(known, now)), updatedAt: now});
	}

	/** Engine time per millisecond that this gateway gives to prompts of a higher rank. */
	rateBefore(rank: Rank, now: number): number {
		const plain = plainRank(rank);
		return [...this.#byRank.values()]
			.filter(work => compareRanks(work.rank, plain) < 0)
			.reduce((sum, work) => sum + decayed(work, now), 0) / decayMilliseconds;
	}

	#forgetOld(now: number): void {
		for (const [key, work] of this.#byRank) {
			if (decayed(work, now) < minMilliseconds) {
				this.#byRank.delete(key);
			}
		}
	}
}
