/**
Knows since when nothing has disturbed the gateways and the store of a soak.

Some things are promised only for a fleet in calm: a bound in time does not hold for a gateway
that stands still, or that cannot reach the store.
*/

/** Time after a disturbance from which on bounds in time hold again. */
const contactMilliseconds = 3000;

/**
One instance a soak.

@example
```
await calm.disturb(async () => gateway.stop());
calm.isCalmSince(startedAt);
```
*/
export class SoakCalm {
	#disturbances = 0;
	#lastEndedAt = Number.NEGATIVE_INFINITY;

	/** Runs something that disturbs the fleet until it resolves. */
	async disturb(act: () => Promise<void>): Promise<void> {
		this.#disturbances++;
		try {
			await act();
		} finally {
			this.#disturbances--;
			this.#lastEndedAt = performance.now();
		}
	}

	/** True when bounds in time have held ever since that moment, on the clock of `performance.now`. */
	isCalmSince(moment: number): boolean {
		return this.#disturbances === 0 && this.#lastEndedAt + contactMilliseconds < moment;
	}
}
