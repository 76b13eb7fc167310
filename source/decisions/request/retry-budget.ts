/**
Limits retries to a share of requests, so that retries do not multiply the load during a failure.
*/

const mostSaved = 20;

/**
A retry budget: each request adds `share` to the balance, each retry takes 1 from it.
The balance starts at its maximum.

With a share of 0.2, a thousand requests allow at most 200 retries plus the initial
balance, so that the loss of an availability zone raises the load to at most 1.2 times the demand.

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

	/** Changes the share when a new configuration sets another one. */
	setShare(share: number): void {
		this.#share = share;
	}

	/** Adds the share of one request to the balance. */
	earn(): void {
		this.#saved = Math.min(mostSaved, this.#saved + this.#share);
	}

	/** True when the balance covers one more retry. */
	get allows(): boolean {
		return this.#saved >= 1;
	}

	/** Takes one retry from the balance. */
	spend(): void {
		this.#saved = Math.max(0, this.#saved - 1);
	}
}
