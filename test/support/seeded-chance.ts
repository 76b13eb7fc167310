/**
Chance that falls the same way each time for a seed.
*/
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformInt} from 'pure-rand/distribution/uniformInt';

const steps = 1_000_000;

/**
Each call draws from the same sequence, so the order of the calls belongs to a case.

@example
```
const chance = new SeededChance(7);
chance.pick(['cut', 'kill']);
```
*/
export class SeededChance {
	readonly #generator: ReturnType<typeof xoroshiro128plus>;

	constructor(seed: number) {
		this.#generator = xoroshiro128plus(seed);
	}

	/** A number from 0 to just below 1, as `Math.random` gives it. */
	readonly random = (): number => uniformInt(this.#generator, 0, steps) / (steps + 1);

	between(least: number, most: number): number {
		return least + (this.random() * (most - least));
	}

	/** A whole number below `count`. */
	whole(count: number): number {
		return Math.floor(this.random() * count);
	}

	/** One of at least one item. */
	pick<Item>(items: readonly Item[]): Item {
		return items[this.whole(items.length)]!;
	}

	/** A share of the items, at least one of them while there is any. */
	some<Item>(items: readonly Item[], share: number): readonly Item[] {
		const count = Math.max(1, Math.round(items.length * share));
		return items
			.map(item => ({item, order: this.random()}))
			.toSorted((first, second) => first.order - second.order)
			.slice(0, count)
			.map(({item}) => item);
	}
}
