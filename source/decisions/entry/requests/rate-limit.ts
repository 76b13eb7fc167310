/**
Limits how many events pass each second.
*/

/**
A token bucket that starts full and holds the tokens of one second.

@example
```
const limit = new RateLimit(20);
if (limit.tryTake(now)) {
	write(line);
}
```
*/
export class RateLimit {
	#tokens: number;
	#filledAt: number | undefined;
	readonly #perSecond: number;

	constructor(perSecond: number) {
		this.#perSecond = perSecond;
		this.#tokens = perSecond;
	}

	/** Takes one token; false when there is none. */
	tryTake(now: number): boolean {
		const elapsed = now - (this.#filledAt ?? now);
		this.#tokens = Math.min(this.#perSecond, this.#tokens + (elapsed / 1000 * this.#perSecond));
		this.#filledAt = now;
		if (this.#tokens < 1) {
			return false;
		}

		this.#tokens--;
		return true;
	}
}
