/**
What engines are believed to keep of shared prompt parts.

The load it answers: many prompts begin with one of some hundred long parts, more
than one engine can keep. Reading such a part again takes an engine a quarter of
a second; fetching it from the engine that keeps it takes a tenth of that. So all
gateways tell each other which engine last read which part. A wrong belief costs
a longer read, never a wrong answer.
*/

/** Part of an engine's memory that is taken to hold shared parts; running requests have the rest. */
const keptPart = 0.6;
/** News kept for peers between two digests at most. */
const mostNews = 200;

type Kept = {readonly engine: string; readonly part: string; readonly tokens: number};

/**
Shared parts by engine incarnation, the least recently used first.

@example
```
kept.used({engine: 'engine-3 17', part: '5c1e07a2', tokens: 13_300}, 435_004);
kept.keeps('engine-3 17', '5c1e07a2');
```
*/
export class KeptParts {
	readonly #byEngine = new Map<string, Map<string, number>>();
	#news: Kept[] = [];

	keeps(engine: string, part: string): boolean {
		return this.#byEngine.get(engine)?.has(part) ?? false;
	}

	/** Engines that are believed to keep a part. */
	keepers(part: string): readonly string[] {
		return [...this.#byEngine].filter(([, parts]) => parts.has(part)).map(([engine]) => engine);
	}

	/** Records that an engine read or fetched a part for this gateway. */
	used(kept: Kept, cacheTokens: number): void {
		const isNews = !this.keeps(kept.engine, kept.part);
		this.hear(kept, cacheTokens);
		if (isNews && this.#news.length < mostNews) {
			this.#news.push(kept);
		}
	}

	/** Takes a peer's word. */
	hear({engine, part, tokens}: Kept, cacheTokens: number): void {
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

	/** Records that an engine did not have a part after all. */
	lost(engine: string, part: string): void {
		this.#byEngine.get(engine)?.delete(part);
	}

	/** What peers have not been told yet; told once. */
	takeNews(): readonly Kept[] {
		const news = this.#news;
		this.#news = [];
		return news;
	}

	keepOnly(engines: ReadonlySet<string>): void {
		for (const engine of this.#byEngine.keys()) {
			if (!engines.has(engine)) {
				this.#byEngine.delete(engine);
			}
		}
	}
}
