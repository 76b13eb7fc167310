/**
What one request asks of its service's retry budget, from the moment at which an
attempt fails to the first byte of the next one.

In between the request may wait for an engine or a connection. What it was
promised is held for it meanwhile, so that no other request is let through on the
same room, and is asked for again when the first byte goes out, as the window has
moved on by then.
*/
import * as option from 'fp-ts/lib/Option.js';
import {ArrivalCount} from '../decisions/entry/arrival-count.js';
import type {RetryCharge} from '../decisions/entry/retry-charge.js';
import type {WindowedRetryBudget} from '../decisions/entry/windowed-retry-budget.js';

/**
One instance a request. Times are on the gateway's monotonic clock.

Invariants: nothing beyond the first arrival is sent without a charge; what is
held is released once the request is over.

@example
```
const permit = new RetryPermit(window, clock);
if (permit.mayRetry()) {
	permit.hold();
}
```
*/
export class RetryPermit {
	readonly #window: WindowedRetryBudget;
	readonly #now: () => number;
	readonly #arrivals = new ArrivalCount();
	#held = 0;
	#isEnded = false;
	#lastCharge: option.Option<RetryCharge> = option.none;

	constructor(window: WindowedRetryBudget, now: () => number) {
		this.#window = window;
		this.#now = now;
	}

	/** Arrivals so far, without the free reading. */
	get arrivals(): number {
		return this.#arrivals.counted;
	}

	/** True when the next attempt is free, or there is room for it. */
	mayRetry(): boolean {
		return !this.#arrivals.isBeyondFirst || this.#held > 0 || this.#window.allowsRetry(this.#now());
	}

	/** Holds room for the next attempt, if it needs any. */
	hold(): void {
		this.#holdAll(this.#arrivals.isBeyondFirst ? 1 : 0);
	}

	/** True when a prompt may be read apart from its run: its first reading is free, any other one needs room beside the run's, which is held. */
	mayReadApart(): boolean {
		return this.#arrivals.isPrefillFree || this.#holdAll(this.#arrivals.isBeyondFirst ? 2 : 1);
	}

	/** Asked before the first byte of an attempt; false when it may not be sent. */
	mayArrive(): boolean {
		this.#lastCharge = option.none;
		if (this.#arrivals.isBeyondFirst) {
			const isHeld = this.#held > 0;
			this.#held -= isHeld ? 1 : 0;
			this.#lastCharge = this.#window.spend(this.#now(), isHeld);
			if (option.isNone(this.#lastCharge)) {
				return false;
			}
		}

		this.#arrivals.recordSent();
		return true;
	}

	/** Records that a target took the reading sent last; what it was charged goes back to the run, if it is free. */
	readingTaken(): void {
		if (this.#arrivals.recordAcceptedPrefill() && option.isSome(this.#lastCharge)) {
			this.#window.refund(this.#lastCharge.value);
			this.hold();
		}
	}

	/** Releases what is held; nothing more is from now on, whatever outcome still comes. */
	end(): void {
		this.#isEnded = true;
		this.#window.release(this.#held);
		this.#held = 0;
	}

	#holdAll(wanted: number): boolean {
		while (!this.#isEnded && this.#held < wanted && this.#window.reserve(this.#now())) {
			this.#held++;
		}

		return this.#held >= wanted;
	}
}
