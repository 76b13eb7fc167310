/**
Tracks which shared prompt parts each engine holds in its prefix cache.

Many prompts begin with one of some hundred long parts, more than one engine can
cache. Prefilling such a part again takes an engine a quarter of a second; fetching
its KV cache from the engine that holds it takes a tenth of that. A wrong entry here
costs more than one prefill: all prompts behind it wait for a prefill that no
backlog estimate counted.

So an engine's own cache reports take precedence. The gateway that owns the engine
follows its cache changes and passes them on to its peers. A part that was just sent
to an engine counts as cached until the engine has had time to report it. An engine
without fresh reports is assumed to evict a part that was not used while the engine
prefilled about as many tokens as it can cache.
*/

/** How long an engine's report counts after it arrived. */
const freshReportMilliseconds = 4000;
/** How long an engine may take to report a prompt that was sent to it. */
const unconfirmedMilliseconds = 2500;
/**
Share of an engine's cache that may be prefilled anew before a part that was not used
since is taken to be evicted; running requests take the rest of the memory.
*/
const evictionShare = 0.7;
/** Parts below this size are not tracked. */
const minPartTokens = 1000;
/** Parts tracked for one engine; beyond it, the part that was updated least recently is dropped. */
const maxParts = 2000;
/** Updates held for peers between two digests, at most. */
const maxUpdates = 400;

type SharedPart = {readonly id: string; readonly tokens: number};

/** A part that was sent to an engine, which will cache it, or that the engine reported as cached. */
type CacheUpdate = {readonly engine: string; readonly part: string; readonly tokens: number};

type CacheChange = Omit<CacheUpdate, 'engine'>;

type CachedPart = {
	/** Tokens that the engine last reported as cached. */
	reported: number;
	/** Tokens that are cached once the engine has prefilled what was sent. */
	expected: number;
	sentAt: number;
	/** The engine's `prefilledTokens` when the part was last sent, or first reported. */
	prefilledAtUpdate: number;
};

type EngineCache = {parts: Map<string, CachedPart>; prefilledTokens: number; reportedAt: number};

/** Stores a part as the most recently updated one; the map keeps the order of updates. */
const storePart = ({parts}: EngineCache, id: string, part: CachedPart): void => {
	parts.delete(id);
	parts.set(id, part);
	const [oldest] = parts.keys();
	if (parts.size > maxParts && oldest !== undefined) {
		parts.delete(oldest);
	}
};

/**
Cached parts by engine incarnation. Times are in milliseconds.

@example
```
cacheIndex.recordSent('engine-3 17', [{id: '5c1e07a2', tokens: 13_300}], clock());
cacheIndex.recordReport('engine-3 17', [{part: '5c1e07a2', tokens: 0}], clock());
cacheIndex.cachedTokens('engine-3 17', parts, {cacheTokens: 435_004, now: clock()});
```
*/
export class PrefixCacheIndex {
	readonly #byEngine = new Map<string, EngineCache>();
	#sentUpdates: CacheUpdate[] = [];
	#reportUpdates: CacheUpdate[] = [];

	/** Estimates how many tokens at the beginning of a prompt an engine has cached. */
	cachedTokens(engine: string, parts: readonly SharedPart[], {cacheTokens, now}: {readonly cacheTokens: number; readonly now: number}): number {
		const cache = this.#byEngine.get(engine);
		if (cache === undefined) {
			return 0;
		}

		let sum = 0;
		for (const {id, tokens} of parts) {
			const cached = Math.min(tokens, this.#cachedTokensOf(cache, id, cacheTokens, now));
			sum += cached;
			if (cached < tokens && tokens >= minPartTokens) {
				break;
			}
		}

		return sum;
	}

	/** True while the engine's last report is fresh. */
	hasFreshReport(engine: string, now: number): boolean {
		const cache = this.#byEngine.get(engine);
		return cache !== undefined && now - cache.reportedAt < freshReportMilliseconds;
	}

	/** Records that this gateway sent a prompt with these shared parts to an engine. */
	recordSent(engine: string, parts: readonly SharedPart[], now: number): void {
		for (const {id, tokens} of parts.filter(part => part.tokens >= minPartTokens)) {
			const update = {engine, part: id, tokens};
			this.recordPeerSent(update, now);
			if (this.#sentUpdates.length < maxUpdates) {
				this.#sentUpdates.push(update);
			}
		}
	}

	/** Records what a peer sent to an engine. */
	recordPeerSent({engine, part, tokens}: CacheUpdate, now: number): void {
		const cache = this.#cacheOf(engine);
		const previous = cache.parts.get(part);
		storePart(cache, part, {
			reported: previous?.reported ?? 0, expected: tokens, sentAt: now, prefilledAtUpdate: cache.prefilledTokens,
		});
	}

	/** Records an engine's report that reached this gateway, and queues it for the peers. */
	recordReport(engine: string, changes: readonly CacheChange[], now: number): void {
		const updates = this.recordPeerReport(engine, changes, now).map(change => ({engine, ...change}));
		this.#reportUpdates.push(...updates.slice(0, maxUpdates - this.#reportUpdates.length));
	}

	/** Records an engine's report that a peer passed on; returns the changes of parts that are tracked. */
	recordPeerReport(engine: string, changes: readonly CacheChange[], now: number): readonly CacheChange[] {
		const cache = this.#cacheOf(engine);
		cache.reportedAt = now;
		return changes.filter(({part, tokens}) => this.#applyChange(cache, part, tokens, now));
	}

	/** Discards what an engine reported, as after its restart or when some of its changes were missed. */
	discardReports(engine: string): void {
		for (const part of this.#cacheOf(engine).parts.values()) {
			part.reported = 0;
		}
	}

	/** Records tokens that an engine prefills, which evict older ones from its cache. */
	recordPrefill(engine: string, tokens: number): void {
		this.#cacheOf(engine).prefilledTokens += tokens;
	}

	/** Returns the updates that peers have not received yet, and clears them. */
	takeUpdates(): {readonly sent: readonly CacheUpdate[]; readonly told: readonly CacheUpdate[]} {
		const updates = {sent: this.#sentUpdates, told: this.#reportUpdates};
		this.#sentUpdates = [];
		this.#reportUpdates = [];
		return updates;
	}

	/** Returns all that engines reported, for a peer that has just joined. */
	allReported(engines: readonly string[]): readonly CacheUpdate[] {
		return engines.flatMap(engine => [...this.#byEngine.get(engine)?.parts ?? []]
			.filter(([, {reported}]) => reported > 0)
			.map(([part, {reported}]) => ({engine, part, tokens: reported})));
	}

	retainOnly(engines: ReadonlySet<string>): void {
		for (const engine of this.#byEngine.keys()) {
			if (!engines.has(engine)) {
				this.#byEngine.delete(engine);
			}
		}
	}

	/** Applies a reported change; true when the part is or was tracked. */
	#applyChange(cache: EngineCache, part: string, tokens: number, now: number): boolean {
		const previous = cache.parts.get(part);
		if (previous === undefined && tokens < minPartTokens) {
			return false;
		}

		const isReportPending = previous !== undefined && now - previous.sentAt < unconfirmedMilliseconds;
		if (tokens === 0 && !isReportPending) {
			cache.parts.delete(part);
			return true;
		}

		storePart(cache, part, {
			reported: tokens, expected: previous?.expected ?? 0, sentAt: previous?.sentAt ?? Number.NEGATIVE_INFINITY, prefilledAtUpdate: previous?.prefilledAtUpdate ?? cache.prefilledTokens,
		});
		return true;
	}

	#cachedTokensOf(cache: EngineCache, id: string, cacheTokens: number, now: number): number {
		const part = cache.parts.get(id);
		if (part === undefined) {
			return 0;
		}

		if (now - cache.reportedAt < freshReportMilliseconds) {
			return now - part.sentAt < unconfirmedMilliseconds ? Math.max(part.reported, part.expected) : part.reported;
		}

		return cache.prefilledTokens - part.prefilledAtUpdate < cacheTokens * evictionShare ? Math.max(part.reported, part.expected) : 0;
	}

	#cacheOf(engine: string): EngineCache {
		const cache = this.#byEngine.get(engine) ?? {parts: new Map<string, CachedPart>(), prefilledTokens: 0, reportedAt: Number.NEGATIVE_INFINITY};
		this.#byEngine.set(engine, cache);
		return cache;
	}
}
