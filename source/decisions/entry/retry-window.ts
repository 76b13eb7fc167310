/**
Bounds the retries of one service over all gateways without their talking to each other.

All gateways together may send a share of the requests of a window again, and a
fixed number beside it. Each takes its own requests' share and an equal part of
the fixed number, so the sums hold whatever the others do. It answers a dead
replica under full load, where every request would otherwise be sent twice.
*/

/** Part of the allowance that is used, so that a window that slides differently at the judge still holds. */
const usedPart = 0.85;

type Bounds = {readonly share: number; readonly windowMilliseconds: number; readonly extra: number};

const within = (times: readonly number[], since: number): readonly number[] => times.filter(time => time > since);

/**
Requests and retries of one service in a sliding window.

@example
```
const retries = new RetryWindow({share: 0.2, windowMilliseconds: 10_000, extra: 58});
retries.request(now);
if (retries.allows(now, gateways)) {
	retries.retry(now);
}
```
*/
export class RetryWindow {
	readonly #bounds: Bounds;
	#requests: number[] = [];
	#retries: number[] = [];

	constructor(bounds: Bounds) {
		this.#bounds = bounds;
	}

	/** Records one request of a caller. */
	request(now: number): void {
		this.#requests.push(now);
		this.#prune(now);
	}

	/** Records one arrival beyond the first of its request. */
	retry(now: number): void {
		this.#retries.push(now);
	}

	/** True when one more retry is within this gateway's part. */
	allows(now: number, gateways: number): boolean {
		this.#prune(now);
		const allowance = (this.#requests.length * this.#bounds.share) + (this.#bounds.extra / Math.max(1, gateways));
		return this.#retries.length + 1 <= allowance * usedPart;
	}

	#prune(now: number): void {
		const since = now - this.#bounds.windowMilliseconds;
		if ((this.#requests[0] ?? now) <= since) {
			this.#requests = [...within(this.#requests, since)];
		}

		if ((this.#retries[0] ?? now) <= since) {
			this.#retries = [...within(this.#retries, since)];
		}
	}
}
