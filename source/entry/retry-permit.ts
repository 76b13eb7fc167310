/**
Reserves and spends the retry budget of a service on behalf of one request.

Between a failed attempt and the first byte of the next one, the request may wait for
an engine or a connection. The room that it needs in the budget is held during that
time, so that no other request uses it. The budget is checked again when the first byte
is sent, because its time window has moved on by then.
*/
import * as option from 'fp-ts/lib/Option.js';
import {ArrivalCount} from '../decisions/entry/requests/arrival-count.js';
import type {RetryCharge} from '../decisions/entry/requests/retry-charge.js';
import type {WindowedRetryBudget} from '../decisions/entry/requests/windowed-retry-budget.js';

/**
One instance a request. Times are on the gateway's monotonic clock.

Invariants: nothing beyond the first arrival is sent without a charge; what is held is
released when the request ends.

@example
```
const permit = new RetryPermit(budget, clock);
if (permit.mayRetry()) {
	permit.hold();
}
```
*/
export class RetryPermit {
	readonly #budget: WindowedRetryBudget;
	readonly #now: () => number;
	readonly #arrivals = new ArrivalCount();
	#held = 0;
	#isEnded = false;
	#lastCharge: option.Option<RetryCharge> = option.none;

	constructor(budget: WindowedRetryBudget, now: () => number) {
		this.#budget = budget;
		this.#now = now;
	}

	/** Arrivals at targets so far, without the free prefill. */
	get arrivals(): number {
		return this.#arrivals.counted;
	}

	/** True when the next attempt is free, or the budget has room for it. */
	mayRetry(): boolean {
		return !this.#arrivals.isBeyondFirst || this.#held > 0 || this.#budget.allowsRetry(this.#now());
	}

	/** Holds room for the next attempt, unless that attempt is free. */
	hold(): void {
		this.#ensureHeld(this.#arrivals.isBeyondFirst ? 1 : 0);
	}

	/**
	True when the prompt may be prefilled at another engine than the decode engine.

	While no target has accepted a prefill, the next one is free. Otherwise room is held for the
	prefill and for the decode attempt after it, as far as they are arrivals beyond the first.
	*/
	mayPrefillSeparately(): boolean {
		return this.#arrivals.isPrefillFree || this.#ensureHeld(this.#arrivals.isBeyondFirst ? 2 : 1);
	}

	/** Charges an attempt just before its first byte is sent; false when the budget has no room and the attempt must not be sent. */
	tryStartAttempt(): boolean {
		this.#lastCharge = option.none;
		if (this.#arrivals.isBeyondFirst) {
			const isHeld = this.#held > 0;
			this.#held -= isHeld ? 1 : 0;
			this.#lastCharge = this.#budget.spend(this.#now(), isHeld);
			if (option.isNone(this.#lastCharge)) {
				return false;
			}
		}

		this.#arrivals.recordSent();
		return true;
	}

	/** Records that a target accepted the prefill sent last; if it is free, its charge is refunded and held for the decode attempt. */
	recordAcceptedPrefill(): void {
		if (this.#arrivals.recordAcceptedPrefill() && option.isSome(this.#lastCharge)) {
			this.#budget.refund(this.#lastCharge.value);
			this.hold();
		}
	}

	/** Releases what is held; outcomes that arrive later hold nothing more. */
	end(): void {
		this.#isEnded = true;
		this.#budget.release(this.#held);
		this.#held = 0;
	}

	/** Holds room until `count` attempts have some; false when the budget does not allow that many. */
	#ensureHeld(count: number): boolean {
		while (!this.#isEnded && this.#held < count && this.#budget.reserve(this.#now())) {
			this.#held++;
		}

		return this.#held >= count;
	}
}
