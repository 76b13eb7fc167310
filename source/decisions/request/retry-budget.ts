/**
Limits retries to a share of requests, so that failures cannot multiply load.
*/

const mostSaved = 20;

/**
A budget that each request adds to and each retry draws from.

With a share of 0.2, a thousand requests allow at most 200 retries and the
saved start: the load that a dead zone causes is at most 1.2 times the demand.

@example
```
const budget = new RetryBudget(0.2);
budget.earn();
if (budget.allows) {
	budget.spend();
}
```
*/
export class RetryBudget {
	#share: number;
	#saved = mostSaved;

	constructor(share: number) {
		this.#share = share;
	}

	/** Takes a newly configured share. */
	setShare(share: number): void {
		this.#share = share;
	}

	/** Records one request of a caller. */
	earn(): void {
		this.#saved = Math.min(mostSaved, this.#saved + this.#share);
	}

	/** True when the next retry is within the budget. */
	get allows(): boolean {
		return this.#saved >= 1;
	}

	/** Records one retry. */
	spend(): void {
		this.#saved = Math.max(0, this.#saved - 1);
	}
}
