/**
Counts the arrivals of one request at targets as its service's retry budget does.

The first arrival is free, and so is the first reading of its prompt that a target
takes. Whether a reading is taken is known only later, so each counts when it is
sent, and the first that was taken is taken back.
*/

/**
Attempts of a request are sent one after the other.

Invariant: `counted` is never below what targets have counted.

@example
```
const arrivals = new ArrivalCount();
arrivals.sent();
arrivals.isBeyondFirst; // true: what is sent next is a retry
```
*/
export class ArrivalCount {
	#counted = 0;
	#isReadingFree = true;

	get counted(): number {
		return this.#counted;
	}

	/** True when what is sent next comes beside the first arrival. */
	get isBeyondFirst(): boolean {
		return this.#counted > 0;
	}

	/** True while no target has taken a reading of the prompt. */
	get isReadingFree(): boolean {
		return this.#isReadingFree;
	}

	/** Records that the first byte of an attempt was handed over. */
	sent(): void {
		this.#counted++;
	}

	/** Records that the reading sent last was taken; true when that one is free. */
	readingTaken(): boolean {
		const isFree = this.#isReadingFree;
		this.#isReadingFree = false;
		this.#counted -= isFree ? 1 : 0;
		return isFree;
	}
}
