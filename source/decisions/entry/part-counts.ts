/**
Counts of events by part of time, as many parts as are of use.
*/

/**
Parts are numbered; a part that has fallen out counts nothing.

Invariant: `at` is never above the number of events that were added to the part.

@example
```
const counts = new PartCounts(80);
counts.add(4711);
counts.at(4711); // 1
```
*/
export class PartCounts {
	readonly #counts: number[];
	readonly #parts: number[];

	/** `kept` is the number of parts that are remembered, the newest included. */
	constructor(kept: number) {
		this.#counts = Array.from({length: kept}, () => 0);
		this.#parts = Array.from({length: kept}, () => -1);
	}

	add(part: number, amount: 1 | -1 = 1): void {
		const place = part % this.#counts.length;
		const before = this.#parts[place] === part ? this.#counts[place]! : 0;
		this.#parts[place] = part;
		this.#counts[place] = before + amount;
	}

	/** Takes one event back, unless its part has fallen out. */
	remove(part: number): void {
		if (this.at(part) > 0) {
			this.add(part, -1);
		}
	}

	at(part: number): number {
		const place = part % this.#counts.length;
		return part >= 0 && this.#parts[place] === part ? this.#counts[place]! : 0;
	}

	/** Events from one part to another, both included. */
	between(first: number, last: number): number {
		let sum = 0;
		for (let part = first; part <= last; part++) {
			sum += this.at(part);
		}

		return sum;
	}
}
