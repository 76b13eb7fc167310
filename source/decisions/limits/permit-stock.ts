/**
Keeps the permits of one target that a gateway has got, and decides how many more it asks for.

A permit is valid for a short time after its ask. What a gateway does not use in that time is lost,
so that permits of several spans are never used together.
*/

/** From the ask. It bounds how far permits may be carried from one span into the next, also if they arrive late. */
const validMilliseconds = 1500;
/** Permits that are wanted at once, in milliseconds of the target's limit; one at least. */
const wantedMilliseconds = 500;
/** Most of them, as permits are kept one by one and a target may name any limit. The schema of messages has the same bound. */
const maxWanted = 1000;
/** Span over which the permits received are counted. */
const receivedMilliseconds = 2000;

/**
One instance a target. Times are in milliseconds.

@example
```
stock.want(1, 8.6);
const wanted = stock.takeAsk(100, now); // 1
stock.receive(1, now, now + 2);
stock.tryTake(now + 3); // true
```
*/
export class PermitStock {
	/** When each permit expires. */
	#expiries: readonly number[] = [];
	/** When the latest permits were received. */
	#receivedAt: readonly number[] = [];
	#wanted = 0;
	#asked = 0;
	#askedAt = Number.NEGATIVE_INFINITY;

	/** Permits that may be used now. */
	count(now: number): number {
		return this.#expiries.filter(expiry => now < expiry).length;
	}

	/** Permits a second that have been received lately. */
	receivedPerSecond(now: number): number {
		return this.#receivedAt.filter(at => now - at < receivedMilliseconds).length * 1000 / receivedMilliseconds;
	}

	/** Records that so many more requests could use a permit. */
	want(added: number, limit: number): void {
		this.#wanted = Math.min(this.#wanted + added, Math.max(1, Math.ceil(limit * wantedMilliseconds / 1000)), maxWanted);
	}

	/** Records that there are requests that wait for a permit. */
	wantAtLeastOne(): void {
		this.#wanted = Math.max(1, this.#wanted);
	}

	/** Returns how many permits to ask the owner for now, and counts them as asked for; 0 while an earlier ask counts. */
	takeAsk(lifetimeMilliseconds: number, now: number): number {
		const isOpen = this.#asked > 0 && now - this.#askedAt < lifetimeMilliseconds;
		const missing = this.#wanted - this.count(now);
		if (isOpen || missing <= 0) {
			return 0;
		}

		this.#asked = missing;
		this.#askedAt = now;
		return missing;
	}

	/** Adds permits that answer an ask made at `askedAt`. */
	receive(count: number, askedAt: number, now: number): void {
		const expiry = Math.min(now, askedAt) + validMilliseconds;
		this.#asked = Math.max(0, this.#asked - count);
		this.#wanted = Math.max(0, this.#wanted - count);
		this.#add(count, expiry, now);
		const received = Array.from({length: count}, () => now);
		this.#receivedAt = [...this.#receivedAt.filter(at => now - at < receivedMilliseconds), ...received];
	}

	/** Uses a permit, the one that expires first; false when there is none. */
	tryTake(now: number): boolean {
		const [first, ...others] = this.#expiries.filter(expiry => now < expiry);
		this.#expiries = first === undefined ? [] : others;
		return first !== undefined;
	}

	#add(count: number, expiry: number, now: number): void {
		const added = Array.from({length: count}, () => expiry);
		this.#expiries = [...this.#expiries.filter(other => now < other), ...added].toSorted((first, second) => first - second);
	}
}
