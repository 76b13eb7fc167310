/**
What engines are believed to keep of shared prompt parts.

The load it answers: many prompts begin with one of some hundred long parts, more
than one engine can keep. Reading such a part again takes an engine a quarter of
a second; fetching it from the engine that keeps it takes a tenth of that. So all
gateways tell each other which engine last read which part. A wrong belief costs
a longer read, never a wrong answer.
*/

/**
Part of an engine's memory that may be read anew before a part that was not used
since is taken to be gone; running requests have the rest.
*/
const keptPart = 0.7;
/** News kept for peers between two digests at most. */
const mostNews = 200;

type Kept = {readonly engine: string; readonly part: string};

type Part = {readonly readThen: number};

type Engine = {parts: Map<string, Part>; readTokens: number};

/**
Shared parts by engine incarnation. An engine forgets what was not used while it
read about as much as it can keep, so what it reads is counted: what this gateway
sends, taken to be its equal part of what all send.

@example
```
kept.used({engine: 'engine-3 17', part: '5c1e07a2'});
kept.read('engine-3 17', 3720 * gateways);
kept.keeps('engine-3 17', '5c1e07a2', 435_004);
```
*/
export class KeptParts {
	readonly #byEngine = new Map<string, Engine>();
	#news: Kept[] = [];

	keeps(engine: string, part: string, cacheTokens: number): boolean {
		const known = this.#byEngine.get(engine);
		const kept = known?.parts.get(part);
		return known !== undefined && kept !== undefined && known.readTokens - kept.readThen < cacheTokens * keptPart;
	}

	/** Engines that are believed to keep a part. */
	keepers(part: string, cacheTokens: number): readonly string[] {
		return [...this.#byEngine.keys()].filter(engine => this.keeps(engine, part, cacheTokens));
	}

	/** Records that an engine read, fetched or used a part for this gateway. */
	used(kept: Kept): void {
		this.hear(kept);
		if (this.#news.length < mostNews) {
			this.#news.push(kept);
		}
	}

	/** Takes a peer's word. */
	hear({engine, part}: Kept): void {
		const known = this.#engine(engine);
		known.parts.set(part, {readThen: known.readTokens});
	}

	/** Records tokens that an engine reads and has to keep for a while. */
	read(engine: string, tokens: number): void {
		this.#engine(engine).readTokens += tokens;
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

	#engine(engine: string): Engine {
		const known = this.#byEngine.get(engine) ?? {parts: new Map<string, Part>(), readTokens: 0};
		this.#byEngine.set(engine, known);
		return known;
	}
}
