/**
Counts events in a sliding window at a cost that does not grow with the count.
*/

/** Parts of the window in which events are counted together. */
const parts = 50;

/**
The window is cut into parts; the oldest part counts until it is wholly outside.

Invariant: the count is never below the number of events within the window.

@example
```
const count = new SlidingCount(10_000);
count.add(now);
count.total(now);
```
*/
export class SlidingCount {
	readonly #partMilliseconds: number;
	readonly #counts = Array.from({length: parts + 1}, () => 0);
	#newest = Number.NEGATIVE_INFINITY;
	#total = 0;

	constructor(windowMilliseconds: number) {
		this.#partMilliseconds = windowMilliseconds / parts;
	}

	add(now: number): void {
		const part = this.#advance(now);
		this.#counts[part % this.#counts.length]!++;
		this.#total++;
	}

	/** Events in the window that ends now. */
	total(now: number): number {
		this.#advance(now);
		return this.#total;
	}

	/** Empties the parts that have left the window; gives the present one. */
	#advance(now: number): number {
		const part = Math.floor(now / this.#partMilliseconds);
		const first = Math.max(0, this.#newest + 1, part - this.#counts.length + 1);
		for (let index = first; index <= part; index++) {
			const place = index % this.#counts.length;
			this.#total -= this.#counts[place]!;
			this.#counts[place] = 0;
		}

		this.#newest = Math.max(this.#newest, part);
		return this.#newest;
	}
}
