/**
Recognizes requests that were refused before and come back.

A caller that was refused and came back as told would otherwise start behind all that have
arrived meanwhile, and be refused again until it gives up. It may come back through any
gateway, so gateways report the requests that they refused to each other, by hash.
*/
import {rendezvousScore} from '../routing/rendezvous-score.js';

/** Callers come back within this time or not at all. */
const lifetimeMilliseconds = 10_000;
/** Upper bound of the requests remembered, of all gateways: some ten thousand refusals in their lifetime. */
const maxRemembered = 16_384;
/** Upper bound of the refusals that wait to be reported. */
const maxUnreported = 256;

const hashOf = (requestId: string): number => rendezvousScore('refused', requestId);

/**
Invariant: a request is remembered for `lifetimeMilliseconds` at most.

@example
```
refused.record('9c41', now);
refused.isReturning('9c41', now + 500); // true
```
*/
export class RefusedRequests {
	/** When each refusal was recorded, in that order. */
	readonly #refusedAt = new Map<number, number>();
	readonly #unreported: number[] = [];

	/** Records a request that this gateway has refused. */
	record(requestId: string, now: number): void {
		const hash = hashOf(requestId);
		this.#remember(hash, now);
		if (this.#unreported.length < maxUnreported) {
			this.#unreported.push(hash);
		}
	}

	/** Records requests that a peer reported as refused. */
	recordReported(hashes: readonly number[], now: number): void {
		for (const hash of hashes) {
			this.#remember(hash, now);
		}
	}

	isReturning(requestId: string, now: number): boolean {
		if (this.#refusedAt.size === 0) {
			return false;
		}

		const refusedAt = this.#refusedAt.get(hashOf(requestId));
		return refusedAt !== undefined && now - refusedAt < lifetimeMilliseconds;
	}

	/** Returns the oldest refusals that were not reported yet. */
	takeUnreported(limit: number): readonly number[] {
		return this.#unreported.splice(0, limit);
	}

	#remember(hash: number, now: number): void {
		this.#refusedAt.delete(hash);
		this.#refusedAt.set(hash, now);
		const [oldest, oldestAt] = this.#refusedAt.entries().next().value!;
		if (this.#refusedAt.size > maxRemembered || now - oldestAt >= lifetimeMilliseconds) {
			this.#refusedAt.delete(oldest);
		}
	}
}
