/**
Keeps the rate limits that targets name, as far as this gateway knows.

The load that it answers: a target in need names a limit in some of its answers while older
answers, without one, are still under way, and gateways hear of both at different times. So the
newest observation counts, whoever made it. An answer without a limit proves that there is none
only if its request was sent after the limit was last named.
*/
import type {NamedRateLimit} from '../../fleet/named-rate-limit.js';

/** `requestsPerSecond` is undefined for a limit that has ended. `at` is when the target said so, on this gateway's monotonic clock. */
type Known = {readonly requestsPerSecond: number | undefined; readonly at: number};

type Change = {readonly kind: 'begun' | 'changed' | 'ended'; readonly requestsPerSecond: number | undefined; readonly former: number | undefined};

const kindOf = (requestsPerSecond: number | undefined, former: number | undefined): Change['kind'] | undefined => {
	if (requestsPerSecond === former) {
		return undefined;
	}

	if (requestsPerSecond === undefined) {
		return 'ended';
	}

	return former === undefined ? 'begun' : 'changed';
};

/**
Limits by target incarnation, so that a restarted target has none. Times are in milliseconds.

@example
```
knowledge.observe('engine-3 17', {kind: 'named', requestsPerSecond: 8.6}, {sentAt, now});
knowledge.limitOf('engine-3 17'); // 8.6
```
*/
export class RateLimitKnowledge {
	readonly #known = new Map<string, Known>();

	/** True while any target has a limit. */
	get hasLimits(): boolean {
		return this.#known.size > 0 && [...this.#known.values()].some(({requestsPerSecond}) => requestsPerSecond !== undefined);
	}

	/** Targets with a limit. */
	get limited(): ReadonlyArray<{readonly incarnation: string; readonly requestsPerSecond: number; readonly at: number}> {
		return [...this.#known].flatMap(([incarnation, {requestsPerSecond, at}]) => requestsPerSecond === undefined ? [] : [{incarnation, requestsPerSecond, at}]);
	}

	/** The limit of a target, in requests a second; undefined when it has none. */
	limitOf(incarnation: string): number | undefined {
		return this.#known.get(incarnation)?.requestsPerSecond;
	}

	/** What is known of a target's limit, also that it has ended; undefined when nothing was ever heard of one. */
	of(incarnation: string): Known | undefined {
		return this.#known.get(incarnation);
	}

	/**
	Takes what an answer of the target says, and returns what has changed.

	`sentAt` is when the request of that answer was sent; undefined when an answer without a limit proves nothing.
	*/
	observe(incarnation: string, limit: NamedRateLimit, {sentAt, now}: {readonly sentAt: number | undefined; readonly now: number}): Change | undefined {
		switch (limit.kind) {
			case 'named': {
				return this.#set(incarnation, {requestsPerSecond: limit.requestsPerSecond, at: now});
			}

			case 'none': {
				const known = this.#known.get(incarnation);
				const isProof = known?.requestsPerSecond !== undefined && sentAt !== undefined && sentAt >= known.at;
				return isProof ? this.#set(incarnation, {requestsPerSecond: undefined, at: now}) : undefined;
			}

			case 'malformed': {
				return undefined;
			}
		}
	}

	/** Takes what another gateway has observed, unless something newer is known; returns what has changed. */
	adopt(incarnation: string, reported: Known): Change | undefined {
		const known = this.#known.get(incarnation);
		return known === undefined || reported.at > known.at ? this.#set(incarnation, reported) : undefined;
	}

	/** Removes what is known of targets that are gone. */
	keepOnly(incarnations: ReadonlySet<string>): void {
		for (const incarnation of this.#known.keys()) {
			if (!incarnations.has(incarnation)) {
				this.#known.delete(incarnation);
			}
		}
	}

	#set(incarnation: string, known: Known): Change | undefined {
		const former = this.#known.get(incarnation)?.requestsPerSecond;
		this.#known.set(incarnation, known);
		const kind = kindOf(known.requestsPerSecond, former);
		return kind === undefined ? undefined : {kind, requestsPerSecond: known.requestsPerSecond, former};
	}
}
