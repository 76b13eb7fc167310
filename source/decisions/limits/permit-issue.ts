/**
Issues the permits of one target at the rate that the target takes.

The load that it answers: some gateways have many requests for the target and most have none, and
that changes within a second. So permits go to the gateways that ask, one each in turn. Whoever asks
for fewer than its part leaves the rest to the others. An ask that was not repeated for a while
counts no more, so that a gateway that has gone gets nothing.
*/

/** What may be saved up while nobody asks, in milliseconds of the rate; one permit at least. */
const savedMilliseconds = 250;

/** `askedAt` is the time of the ask on the asking gateway's clock, which is returned with its permits. */
type Ask = {readonly wanted: number; readonly askedAt: number; readonly expiresAt: number};

type NewAsk = Pick<Ask, 'wanted' | 'askedAt'> & {readonly lifetimeMilliseconds: number};

type Issued = {readonly gateway: string; readonly askedAt: number; readonly count: number};

/**
The account of one target at its owner. Times are in milliseconds.

Invariant: in any span, no more permits are issued than the rate allows in it, and those that were saved up.

@example
```
issue.ask('gateway-2', {wanted: 3, askedAt: 17, lifetimeMilliseconds: 100}, now);
issue.take(8.6, now); // [{gateway: 'gateway-2', askedAt: 17, count: 1}]
```
*/
export class PermitIssue {
	#saved = 1;
	#savedAt: number;
	/** In the order of their turns. */
	readonly #asks = new Map<string, Ask>();

	constructor(now: number) {
		this.#savedAt = now;
	}

	/** Records how many permits a gateway wants, in place of what it wanted before. */
	ask(gateway: string, {wanted, askedAt, lifetimeMilliseconds}: NewAsk, now: number): void {
		this.#asks.set(gateway, {wanted, askedAt, expiresAt: now + lifetimeMilliseconds});
	}

	/** Forgets a gateway that cannot be reached any more. */
	discard(gateway: string): void {
		this.#asks.delete(gateway);
	}

	/** Returns the permits that may be issued now, at a rate in permits a second, which is above 0. */
	take(rate: number, now: number): readonly Issued[] {
		this.#save(rate, now);
		this.#dropExpired(now);
		const issued = new Map<string, Issued>();
		while (this.#saved >= 1 && this.#asks.size > 0) {
			this.#saved--;
			const [gateway, ask] = this.#takeTurn();
			issued.set(gateway, {gateway, askedAt: ask.askedAt, count: (issued.get(gateway)?.count ?? 0) + 1});
		}

		return [...issued.values()];
	}

	/** Time until the next permit, in milliseconds; undefined when nobody asks. */
	waitMilliseconds(rate: number): number | undefined {
		return this.#asks.size === 0 ? undefined : Math.max(1, Math.ceil((1 - this.#saved) * 1000 / rate));
	}

	/** Serves the ask whose turn it is, and moves it behind all others while it wants more. */
	#takeTurn(): readonly [string, Ask] {
		const [gateway, ask] = this.#asks.entries().next().value!;
		this.#asks.delete(gateway);
		if (ask.wanted > 1) {
			this.#asks.set(gateway, {...ask, wanted: ask.wanted - 1});
		}

		return [gateway, ask];
	}

	#save(rate: number, now: number): void {
		const most = Math.max(1, rate * savedMilliseconds / 1000);
		this.#saved = Math.min(most, this.#saved + ((now - this.#savedAt) * rate / 1000));
		this.#savedAt = now;
	}

	#dropExpired(now: number): void {
		for (const [gateway, {expiresAt}] of this.#asks) {
			if (now >= expiresAt) {
				this.#asks.delete(gateway);
			}
		}
	}
}
