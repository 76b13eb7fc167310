/**
Decides whether a gateway is on the smaller side of a partition.

It addresses a holder, or a candidate, that is cut off from most of its peers but not from the
store: it would report only the few counts that reach it.
*/

/** A peer that has been out of reach for longer counts no more, as it may have ended. */
const knownMilliseconds = 30_000;

/**
One instance a process.

@example
```
reach.update(['gateway-2', 'gateway-3'], clock());
reach.isOutnumbered; // false
```
*/
export class PeerReach {
	#reached = 0;
	/** Peers, each with the time when it was last reached. */
	readonly #known = new Map<string, number>();
	/** Peers that have told that they end. */
	readonly #ended = new Set<string>();

	/** True when less than half of the known gateways, this one included, are within reach. */
	get isOutnumbered(): boolean {
		return (this.#reached + 1) * 2 < this.#known.size + 1;
	}

	update(reached: readonly string[], now: number): void {
		this.#reached = reached.filter(name => !this.#ended.has(name)).length;
		for (const peer of reached.filter(name => !this.#ended.has(name))) {
			this.#known.set(peer, now);
		}

		for (const [peer, reachedAt] of this.#known) {
			if (now - reachedAt > knownMilliseconds) {
				this.#known.delete(peer);
			}
		}
	}

	/** Counts a peer whose process has started. */
	add(peer: string): void {
		this.#ended.delete(peer);
	}

	/** Counts a peer no longer that ends as planned. */
	remove(peer: string): void {
		this.#ended.add(peer);
		this.#known.delete(peer);
	}
}
