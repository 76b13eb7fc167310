/**
What engines are believed to keep of shared prompt parts.

The load it answers: many prompts begin with one of some hundred long parts, more
than one engine can keep. Reading such a part again takes an engine a quarter of
a second; fetching it from the engine that keeps it takes a tenth of that. A
belief that is wrong costs more than its own read: all prompts behind it wait for
a read that nobody counted.

So the word of the engine itself goes before all else. One gateway follows each
engine's changes and tells the others. What was just sent to an engine is taken
to be kept there until the engine has had time to say so. An engine that nobody
follows is taken to forget what was not used while it read about as much as it
can keep.
*/

/** How long an engine's own word counts, and how long it may take to say that a prompt was read. */
const wordMilliseconds = 4000;
const unconfirmedMilliseconds = 2500;
/**
Part of an engine's memory that may be read anew before a part that was not used
since is taken to be gone; running requests have the rest.
*/
const keptPart = 0.7;
/** Parts below this are not worth remembering. */
const leastTokens = 1000;
/** Parts remembered of one engine; beyond it the one goes that nothing was heard of for longest. */
const mostParts = 2000;
/** News kept for peers between two digests at most. */
const mostNews = 400;

type SharedPart = {readonly id: string; readonly tokens: number};

/** What was sent to an engine, which it will keep, or what it said that it keeps. */
type News = {readonly engine: string; readonly part: string; readonly tokens: number};

type Change = Omit<News, 'engine'>;

type Part = {
	/** Tokens that the engine said it keeps. */
	told: number;
	/** Tokens that it keeps once it has read what was sent. */
	expected: number;
	sentAt: number;
	readThen: number;
};

type Engine = {parts: Map<string, Part>; readTokens: number; toldAt: number};

/** The order in which parts lie in the map is that in which they were last heard of. */
const remember = ({parts}: Engine, id: string, part: Part): void => {
	parts.delete(id);
	parts.set(id, part);
	const [oldest] = parts.keys();
	if (parts.size > mostParts && oldest !== undefined) {
		parts.delete(oldest);
	}
};

/**
Shared parts by engine incarnation. Times are in milliseconds.

@example
```
kept.sent('engine-3 17', [{id: '5c1e07a2', tokens: 13_300}], clock());
kept.told('engine-3 17', [{part: '5c1e07a2', tokens: 0}], clock());
kept.tokens('engine-3 17', parts, {cacheTokens: 435_004, now: clock()});
```
*/
export class KeptParts {
	readonly #byEngine = new Map<string, Engine>();
	#sentNews: News[] = [];
	#toldNews: News[] = [];

	/** Tokens at the beginning of a prompt that an engine is believed to keep. */
	tokens(engine: string, parts: readonly SharedPart[], {cacheTokens, now}: {readonly cacheTokens: number; readonly now: number}): number {
		const known = this.#byEngine.get(engine);
		if (known === undefined) {
			return 0;
		}

		let sum = 0;
		for (const {id, tokens} of parts) {
			const kept = Math.min(tokens, this.#keptOf(known, id, cacheTokens, now));
			sum += kept;
			if (kept < tokens && tokens >= leastTokens) {
				break;
			}
		}

		return sum;
	}

	/** True while the engine's own word is fresh. */
	isFollowed(engine: string, now: number): boolean {
		const known = this.#byEngine.get(engine);
		return known !== undefined && now - known.toldAt < wordMilliseconds;
	}

	/** Records that this gateway sent a prompt with these shared parts to an engine. */
	sent(engine: string, parts: readonly SharedPart[], now: number): void {
		for (const {id, tokens} of parts.filter(part => part.tokens >= leastTokens)) {
			const sent = {engine, part: id, tokens};
			this.hearSent(sent, now);
			if (this.#sentNews.length < mostNews) {
				this.#sentNews.push(sent);
			}
		}
	}

	/** Takes a peer's word of what it sent. */
	hearSent({engine, part, tokens}: News, now: number): void {
		const known = this.#engine(engine);
		const former = known.parts.get(part);
		remember(known, part, {
			told: former?.told ?? 0, expected: tokens, sentAt: now, readThen: known.readTokens,
		});
	}

	/** Takes an engine's own word that reached this gateway; it is passed on to peers. */
	told(engine: string, changes: readonly Change[], now: number): void {
		const news = this.hearTold(engine, changes, now).map(change => ({engine, ...change}));
		this.#toldNews.push(...news.slice(0, mostNews - this.#toldNews.length));
	}

	/** Takes an engine's own word that a peer passed on; gives the changes that are worth remembering. */
	hearTold(engine: string, changes: readonly Change[], now: number): readonly Change[] {
		const known = this.#engine(engine);
		known.toldAt = now;
		return changes.filter(({part, tokens}) => this.#hearChange(known, part, tokens, now));
	}

	/** Forgets what an engine said, as when it has restarted or some of its changes were missed. */
	forgetTold(engine: string): void {
		for (const part of this.#engine(engine).parts.values()) {
			part.told = 0;
		}
	}

	/** Records tokens that an engine reads and has to keep for a while. */
	read(engine: string, tokens: number): void {
		this.#engine(engine).readTokens += tokens;
	}

	/** What peers have not been told yet; told once. */
	takeNews(): {readonly sent: readonly News[]; readonly told: readonly News[]} {
		const news = {sent: this.#sentNews, told: this.#toldNews};
		this.#sentNews = [];
		this.#toldNews = [];
		return news;
	}

	/** All that engines said, for a peer that has just come. */
	allTold(engines: readonly string[]): readonly News[] {
		return engines.flatMap(engine => [...this.#byEngine.get(engine)?.parts ?? []]
			.filter(([, {told}]) => told > 0)
			.map(([part, {told}]) => ({engine, part, tokens: told})));
	}

	keepOnly(engines: ReadonlySet<string>): void {
		for (const engine of this.#byEngine.keys()) {
			if (!engines.has(engine)) {
				this.#byEngine.delete(engine);
			}
		}
	}

	/** True when the part is or was remembered. */
	#hearChange(known: Engine, part: string, tokens: number, now: number): boolean {
		const former = known.parts.get(part);
		if (former === undefined && tokens < leastTokens) {
			return false;
		}

		const isAwaited = former !== undefined && now - former.sentAt < unconfirmedMilliseconds;
		if (tokens === 0 && !isAwaited) {
			known.parts.delete(part);
			return true;
		}

		remember(known, part, {
			told: tokens, expected: former?.expected ?? 0, sentAt: former?.sentAt ?? Number.NEGATIVE_INFINITY, readThen: former?.readThen ?? known.readTokens,
		});
		return true;
	}

	#keptOf(known: Engine, id: string, cacheTokens: number, now: number): number {
		const part = known.parts.get(id);
		if (part === undefined) {
			return 0;
		}

		if (now - known.toldAt < wordMilliseconds) {
			return now - part.sentAt < unconfirmedMilliseconds ? Math.max(part.told, part.expected) : part.told;
		}

		return known.readTokens - part.readThen < cacheTokens * keptPart ? Math.max(part.told, part.expected) : 0;
	}

	#engine(engine: string): Engine {
		const known = this.#byEngine.get(engine) ?? {parts: new Map<string, Part>(), readTokens: 0, toldAt: Number.NEGATIVE_INFINITY};
		this.#byEngine.set(engine, known);
		return known;
	}
}
