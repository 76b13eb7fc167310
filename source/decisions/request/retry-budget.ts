/**
Limits retries to a share of requests, so that retries do not multiply the load during a failure.
*/

const maxBalance = 20;

/**
A retry budget: each request adds `share` to the balance, each retry takes 1 from it.
The balance starts at its maximum.

With a share of 0.2, a thousand requests allow at most 200 retries plus the initial
balance, so that the loss of an availability zone raises the load to at most 1.2 times the demand.

@example
```
const budget = new RetryBudget(0.2);
budget.recordRequest();
if (budget.allowsRetry) {
	budget.recordRetry();
}
```
*/
export class RetryBudget {
	#share: number;
	#balance = maxBalance;

	constructor(share: number) {
		this.#share = share;
	}

	/** Changes the share when a new configuration sets another one. */
	setShare(share: number): void {
		this.#share = share;
	}

	/** Adds the share of one request to the balance. */
	recordRequest(): void {
		this.#balance = Math.min(maxBalance, this.#balance + this.#share);
	}

	/** True when the balance covers one more retry. */
	get allowsRetry(): boolean {
		return this.#balance >= 1;
	}

	/** Takes one retry from the balance. */
	recordRetry(): void {
		this.#balance = Math.max(0, this.#balance - 1);
	}
}
