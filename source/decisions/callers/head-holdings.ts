/**
Bounds what the heads of all requests in progress take of the heap.

The load that it addresses: many requests at once, each proper and within its limits, whose heads
take ten times their bytes as objects until they are answered.

A request for which there is no room is refused when its head has come, as nothing of it has run.
Heads of ordinary length have a reserve of their own, so that they are served beside others that
hold much.
*/

/** Estimated bytes up to which a head is an ordinary one. */
const ordinaryBytes = 16_384;
/** What heads of ordinary length may hold beyond the limit, as a factor. */
const reserveFactor = 1.25;

/**
One instance a process. `limitBytes` is for all heads together.

Invariant: `total` is at most the limit and the reserve for heads of ordinary length, or what a single head takes.

@example
```
holdings.tryHold(4270); // true
holdings.release(4270);
```
*/
export class HeadHoldings {
	#total = 0;
	readonly #limitBytes: number;

	constructor(limitBytes: number) {
		this.#limitBytes = limitBytes;
	}

	get total(): number {
		return this.#total;
	}

	/** Counts a head; false, and nothing changes, when there is no room for it. */
	tryHold(bytes: number): boolean {
		const limitBytes = bytes <= ordinaryBytes ? this.#limitBytes * reserveFactor : this.#limitBytes;
		if (this.#total > 0 && this.#total + bytes > limitBytes) {
			return false;
		}

		this.#total += bytes;
		return true;
	}

	/** The request of a head that was counted has ended. */
	release(bytes: number): void {
		this.#total -= bytes;
	}
}
