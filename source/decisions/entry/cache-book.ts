/**
What this gateway believes engines keep of shared prompt parts.

Learned from its own sends only: an engine that read a part keeps it until newer
ones push it out. A wrong belief costs a longer read, never a wrong answer.
*/

/** Part of an engine's memory that is taken to hold shared parts; running requests have the rest. */
const keptPart = 0.6;

/**
Shared parts by engine incarnation, the least recently used first.

@example
```
cache.used('engine-3 17', '5c1e07a2', 13_300, 435_004);
cache.keeps('engine-3 17', '5c1e07a2');
```
*/
export class CacheBook {
	readonly #byEngine = new Map<string, Map<string, number>>();

	keeps(engine: string, part: string): boolean {
		return this.#byEngine.get(engine)?.has(part) ?? false;
	}

	used(engine: string, part: string, tokens: number, cacheTokens: number): void {
		const parts = this.#byEngine.get(engine) ?? new Map<string, number>();
		this.#byEngine.set(engine, parts);
		parts.delete(part);
		parts.set(part, tokens);
		let sum = [...parts.values()].reduce((total, size) => total + size, 0);
		for (const [oldest, size] of parts) {
			if (sum <= cacheTokens * keptPart || oldest === part) {
				break;
			}

			parts.delete(oldest);
			sum -= size;
		}
	}

	keepOnly(engines: ReadonlySet<string>): void {
		for (const engine of this.#byEngine.keys()) {
			if (!engines.has(engine)) {
				this.#byEngine.delete(engine);
			}
		}
	}
}
