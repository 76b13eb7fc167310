/**
Measures how much engine time prompts of each rank take, as a prediction of what will go
before a waiting prompt.

In an overload, a prompt of low rank waits not only for those before it in the queue, but
for all of higher rank that arrive meanwhile. By the queue alone it would seem servable, and
be refused only after it has waited for most of its caller's patience.
*/
import {memoize} from './memoize.js';

/** Time after which placed work counts for a third. */
const decayMilliseconds = 1500;
/** Upper bound of the ranks that are kept apart; there are some twenty levels for each priority. */
const maxRanks = 256;

type Work = {readonly milliseconds: number; readonly updatedAt: number};

const decayed = ({milliseconds, updatedAt}: Work, now: number): number => milliseconds * Math.exp((updatedAt - now) / decayMilliseconds);

/**
The work that one gateway has placed recently, by the order of ranks.

@example
```
work.record(rank.plainOrder, 94, now);
const rateBefore = work.rates(now);
rateBefore(rank.plainOrder); // engine time per millisecond that goes to higher ranks
```
*/
export class PlacedWork {
	/** The rank that got work last comes last. */
	readonly #byOrder = new Map<number, Work>();

	record(order: number, milliseconds: number, now: number): void {
		const known = this.#byOrder.get(order);
		this.#byOrder.delete(order);
		this.#byOrder.set(order, {milliseconds: milliseconds + (known === undefined ? 0 : decayed(known, now)), updatedAt: now});
		if (this.#byOrder.size > maxRanks) {
			this.#byOrder.delete(this.#byOrder.keys().next().value!);
		}
	}

	/** Returns a function for one pass: the engine time per millisecond that goes to ranks before this one. */
	rates(now: number): (order: number) => number {
		const rates = [...this.#byOrder].map(([order, work]) => ({order, rate: decayed(work, now) / decayMilliseconds}));
		return memoize(order => rates.reduce((sum, other) => sum + (other.order < order ? other.rate : 0), 0));
	}
}
