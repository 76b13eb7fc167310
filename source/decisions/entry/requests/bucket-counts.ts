/**
Counts events per time bucket in a ring buffer, as the base of a sliding window.
*/

/**
Buckets are numbered by time. A bucket that the ring buffer has overwritten counts as empty.

Invariant: `at` is never above the number of events that were added to the bucket.

@example
```
const counts = new BucketCounts(80);
counts.add(4711);
counts.at(4711); // 1
```
*/
export class BucketCounts {
	readonly #counts: number[];
	readonly #buckets: number[];

	/** `capacity` is the number of buckets that are kept, the newest included. */
	constructor(capacity: number) {
		this.#counts = Array.from({length: capacity}, () => 0);
		this.#buckets = Array.from({length: capacity}, () => -1);
	}

	add(bucket: number, amount: 1 | -1 = 1): void {
		const index = bucket % this.#counts.length;
		const before = this.#buckets[index] === bucket ? this.#counts[index]! : 0;
		this.#buckets[index] = bucket;
		this.#counts[index] = before + amount;
	}

	/** Removes one event, unless its bucket has been overwritten. */
	remove(bucket: number): void {
		if (this.at(bucket) > 0) {
			this.add(bucket, -1);
		}
	}

	at(bucket: number): number {
		const index = bucket % this.#counts.length;
		return bucket >= 0 && this.#buckets[index] === bucket ? this.#counts[index]! : 0;
	}

	/** Sums the events of the buckets from `first` to `last`, both included. */
	between(first: number, last: number): number {
		let sum = 0;
		for (let bucket = first; bucket <= last; bucket++) {
			sum += this.at(bucket);
		}

		return sum;
	}
}
