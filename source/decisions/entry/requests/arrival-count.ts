/**
Counts the arrivals of one request at targets, as the retry budget of its service charges them.

The first arrival is free, and so is the first prefill that a target accepts.
Whether a target accepts a prefill is known only later, so each prefill counts
when it is sent, and the first accepted one is subtracted again.
*/

/**
Attempts of a request are sent one after the other.

Invariant: `counted` is never below the number that targets have counted.

@example
```
const arrivals = new ArrivalCount();
arrivals.recordSent();
arrivals.isBeyondFirst; // true: what is sent next is a retry
```
*/
export class ArrivalCount {
	#counted = 0;
	#isPrefillFree = true;

	get counted(): number {
		return this.#counted;
	}

	/** True when what is sent next is an arrival beyond the first. */
	get isBeyondFirst(): boolean {
		return this.#counted > 0;
	}

	/** True while no target has accepted a prefill of the prompt. */
	get isPrefillFree(): boolean {
		return this.#isPrefillFree;
	}

	/** Records that the first byte of an attempt was sent. */
	recordSent(): void {
		this.#counted++;
	}

	/** Records that a target accepted the prefill sent last; true when that prefill is free. */
	recordAcceptedPrefill(): boolean {
		const isFree = this.#isPrefillFree;
		this.#isPrefillFree = false;
		this.#counted -= isFree ? 1 : 0;
		return isFree;
	}
}
