/**
Random numbers of a soak: the same seed gives the same faults in the same order.
*/
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

const resolution = 1_000_000;

/**
One instance for each purpose, so that one does not shift the numbers of another.

@example
```
const random = new SoakRandom(7);
random.chance(0.1);
random.pick(['kill', 'freeze']);
```
*/
export class SoakRandom {
	readonly #generator: ReturnType<typeof xoroshiro128plus>;

	constructor(seed: number) {
		this.#generator = xoroshiro128plus(seed);
	}

	/** Returns a number from 0, up to but not including 1. */
	next(): number {
		return uniformInt(this.#generator, 0, resolution - 1) / resolution;
	}

	chance(share: number): boolean {
		return this.next() < share;
	}

	/** Returns a number between two others. */
	between(least: number, most: number): number {
		return least + (this.next() * (most - least));
	}

	pick<Value>(values: readonly Value[]): Value {
		return values[Math.floor(this.next() * values.length)]!;
	}
}
