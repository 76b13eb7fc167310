/**
The rate limit that a target of a soak names for a while, and what it gets meanwhile.
*/
import type {ServerResponse} from 'node:http';
import type {SoakCalm} from './soak-calm.js';

/** Time from the first naming until the limit has to hold. */
const contactMilliseconds = 3000;
/** Time after the first naming from which on requests count; all gateways have been told by then. */
const toldMilliseconds = 1500;
const windowMilliseconds = 4000;
const allowedFactor = 1.5;
const allowedExtra = 5;

/**
One instance a target.

@example
```
limit.begin(4.2);
const problem = limit.receive(response);
limit.end();
```
*/
export class SoakLimit {
	#requestsPerSecond: number | undefined;
	#namedAt = 0;
	#arrivals: readonly number[] = [];
	readonly #gatewayCalm: SoakCalm;

	/** `gatewayCalm` knows since when no gateway has been stopped, killed or frozen, which excuses it. */
	constructor(gatewayCalm: SoakCalm) {
		this.#gatewayCalm = gatewayCalm;
	}

	begin(requestsPerSecond: number): void {
		this.#requestsPerSecond = requestsPerSecond;
		this.#namedAt = performance.now();
		this.#arrivals = [];
	}

	end(): void {
		this.#requestsPerSecond = undefined;
	}

	/** Names the limit in the answer to a request that has come; returns what was wrong with its coming. */
	receive(response: ServerResponse): string | undefined {
		const limit = this.#requestsPerSecond;
		if (limit === undefined) {
			return undefined;
		}

		response.setHeader('server-limit', String(limit));
		const now = performance.now();
		this.#arrivals = now < this.#namedAt + toldMilliseconds ? [] : [...this.#arrivals.filter(at => now - at < windowMilliseconds), now];
		const allowed = (limit * allowedFactor * windowMilliseconds / 1000) + allowedExtra;
		const isDue = now > this.#namedAt + contactMilliseconds && this.#gatewayCalm.isCalmSince(this.#namedAt);
		return isDue && this.#arrivals.length > allowed ? `${this.#arrivals.length} requests in 4 s under a limit of ${limit} a second` : undefined;
	}
}
