/**
Judges whether a target's rate limit is kept, from what arrives at the target and what callers are given.

A request counts if its gateway had passed on an answer with the limit half a second before. From
`contactMilliseconds` after the limit was first named, no span of four seconds may have more than
one and a half times what the limit allows, and five requests.
*/

const contactMilliseconds = 3000;
const toldMilliseconds = 500;
const windowMilliseconds = 4000;
const allowedFactor = 1.5;
const allowedExtra = 5;

type Limit = {readonly requestsPerSecond: number; readonly namedAt: number; readonly toldAt: Map<string, number>; readonly counted: number[]};

type Violation = {readonly target: string; readonly at: number; readonly requests: number; readonly allowed: number};

const allowedBy = (requestsPerSecond: number): number => Math.floor((requestsPerSecond * windowMilliseconds / 1000 * allowedFactor) + allowedExtra);

const worstOf = (target: string, {requestsPerSecond, namedAt, counted}: Limit): Violation => {
	const allowed = allowedBy(requestsPerSecond);
	let first = 0;
	let worst: Violation = {
		target, at: namedAt, requests: 0, allowed,
	};
	for (const [index, at] of counted.entries()) {
		while (counted[first]! <= at - windowMilliseconds) {
			first++;
		}

		const end = Math.max(at, namedAt + contactMilliseconds);
		const requests = end - counted[first]! <= windowMilliseconds ? index - first + 1 : 0;
		worst = requests > worst.requests
			? {
				target, at, requests, allowed,
			}
			: worst;
	}

	return worst;
};

/**
Times are in milliseconds, on one clock.

@example
```
judge.name('i-1', 8.6, now);
judge.told('i-1', 'gateway-1', now);
judge.arrive('i-1', 'gateway-1', now + 600);
judge.violations;
```
*/
export class RateLimitJudge {
	readonly #limits = new Map<string, Limit>();
	readonly #ended: Array<readonly [string, Limit]> = [];

	/** The fullest span of each limit, whether it is allowed or not. */
	get worst(): readonly Violation[] {
		return [...this.#ended, ...this.#limits].map(([target, limit]) => worstOf(target, limit));
	}

	get violations(): readonly Violation[] {
		return this.worst.filter(({requests, allowed}) => requests > allowed);
	}

	/** The target names a limit from now on. */
	name(target: string, requestsPerSecond: number, at: number): void {
		this.#limits.set(target, {
			requestsPerSecond, namedAt: at, toldAt: new Map(), counted: [],
		});
	}

	/** The target names no limit any more. */
	end(target: string): void {
		const limit = this.#limits.get(target);
		if (limit !== undefined) {
			this.#ended.push([target, limit]);
			this.#limits.delete(target);
		}
	}

	/** The gateway has passed on an answer of the target with its limit. */
	told(target: string, gateway: string, at: number): void {
		const toldAt = this.#limits.get(target)?.toldAt;
		if (toldAt !== undefined && !toldAt.has(gateway)) {
			toldAt.set(gateway, at);
		}
	}

	/** The gateway was restarted, frozen or cut off: what it was told counts no more. */
	excuse(gateway: string): void {
		for (const {toldAt} of this.#limits.values()) {
			toldAt.delete(gateway);
		}
	}

	/** A request of the gateway reaches the target. */
	arrive(target: string, gateway: string, at: number): void {
		const limit = this.#limits.get(target);
		const toldAt = limit?.toldAt.get(gateway);
		if (toldAt !== undefined && at >= toldAt + toldMilliseconds) {
			limit!.counted.push(at);
		}
	}
}
