/**
Model of an engine that batches continuously, in virtual time.

One iteration prefills a chunk of waiting prompts and makes one token for each
stream in its batch. The role sets the size of the chunk and of the batch.
*/
import createHasher from 'xxhash-wasm';

type Role = 'prefill' | 'decode' | 'mixed';
type Profile = {
	readonly totalPieces: number;
	readonly tokensPerPiece: number;
	readonly prefillTokensPerSecond: number;
	readonly iterationMilliseconds: number;
	readonly streamMilliseconds: number;
	/** Prompt tokens whose KV cache is kept for later prompts with the same prefix. */
	readonly cachedTokens: number;
	/** Above 1 for an engine slower than its kin. */
	readonly slowness: number;
};
type Submission = {readonly id: string; readonly prompt: string; readonly promptTokens: number; readonly outputTokens: number; readonly importance: number};
type Stream = Submission & {unfilledTokens: number; made: number; readonly pieces: number};
type Iteration = {readonly batch: readonly Stream[]; readonly filled: ReadonlyArray<readonly [Stream, number]>; readonly endsAt: number};
type Event = {readonly kind: 'token' | 'end'; readonly id: string; readonly index: number; readonly at: number};

const hasher = await createHasher();
const millisecondsPerSecond = 1000;
const blockCharacters = 1024;
const tokensPerBlock = 256;

const shapes: Readonly<Record<Role, {readonly chunkTokens: number; readonly mostStreams: number}>> = {
	prefill: {chunkTokens: 2048, mostStreams: 32},
	mixed: {chunkTokens: 512, mostStreams: 48},
	decode: {chunkTokens: 128, mostStreams: 64},
};

/**
A virtual engine. `advance` moves its time and returns the tokens made.

@example
```
const engine = new EngineModel('mixed');
engine.submit({id, prompt, promptTokens: 5000, outputTokens: 40, importance: 2});
engine.advance(1000);
```
*/
export class EngineModel {
	static readonly defaultProfile: Profile = {
		totalPieces: 256, tokensPerPiece: 2000, prefillTokensPerSecond: 20_000, iterationMilliseconds: 8, streamMilliseconds: 0.25, cachedTokens: 100_000, slowness: 1,
	};

	now = 0;
	/** Tokens of prompts that were found in the cache. */
	cacheHits = 0;
	readonly #profile: Profile;
	readonly #streams = new Map<string, Stream>();
	readonly #cache = new Map<number, true>();
	#iteration: Iteration | undefined;

	constructor(public role: Role, profile: Partial<Profile> = {}) {
		this.#profile = {...EngineModel.defaultProfile, ...profile};
	}

	get size(): number {
		return this.#streams.size;
	}

	/** The engine's own account of its speed in its role with a full batch. */
	get capacity() {
		const {chunkTokens, mostStreams} = shapes[this.role];
		const {slowness, totalPieces, tokensPerPiece} = this.#profile;
		const iteration = this.#iterationMilliseconds(chunkTokens, mostStreams);
		const decodeOnly = this.#iterationMilliseconds(0, mostStreams);
		return {
			totalPieces,
			tokensPerPiece,
			mostRunning: mostStreams,
			prefillTokensPerSecond: chunkTokens * millisecondsPerSecond / iteration,
			decodeTokensPerSecond: mostStreams * millisecondsPerSecond / ((iteration + decodeOnly) / 2),
			tokenMilliseconds: (iteration + decodeOnly) / 2,
			slowness,
		};
	}

	/** Takes a request; an idle engine begins with it at its own time. */
	submit(submission: Submission): void {
		const pieces = Math.max(1, Math.ceil((submission.promptTokens + submission.outputTokens) / this.#profile.tokensPerPiece));
		const cached = Math.min(submission.promptTokens - 1, this.#cachedTokens(submission.prompt));
		this.cacheHits += Math.max(0, cached);
		this.#streams.set(submission.id, {
			...submission, unfilledTokens: submission.promptTokens - Math.max(0, cached), made: 0, pieces,
		});
	}

	cancel(id: string): void {
		this.#streams.delete(id);
	}

	/** Drops everything, as a crash or a change of model does. */
	clear(): readonly string[] {
		const ids = [...this.#streams.keys()];
		this.#streams.clear();
		this.#iteration = undefined;
		this.#cache.clear();
		return ids;
	}

	/** Runs whole iterations until `until`; an idle engine's time jumps there. */
	advance(until: number): readonly Event[] {
		const events: Event[] = [];
		for (;;) {
			this.#iteration ??= this.#begin();
			if (this.#iteration === undefined) {
				this.now = until;
				return events;
			}

			if (this.#iteration.endsAt > until) {
				return events;
			}

			events.push(...this.#end(this.#iteration));
			this.#iteration = undefined;
		}
	}

	/** What is submitted during an iteration waits for the next one. */
	#begin(): Iteration | undefined {
		if (this.#streams.size === 0) {
			return undefined;
		}

		const batch = this.#batch();
		const filled = this.#chunk();
		const duration = this.#iterationMilliseconds(filled.reduce((total, [, tokens]) => total + tokens, 0), batch.length);
		return {batch, filled, endsAt: this.now + duration};
	}

	#end({batch, filled, endsAt}: Iteration): readonly Event[] {
		this.now = endsAt;
		for (const [stream, tokens] of filled) {
			stream.unfilledTokens -= tokens;
			if (stream.unfilledTokens <= 0) {
				this.#remember(stream.prompt);
			}
		}

		return batch.filter(({id}) => this.#streams.has(id)).flatMap(stream => this.#makeToken(stream));
	}

	#makeToken(stream: Stream): readonly Event[] {
		const token: Event = {
			kind: 'token', id: stream.id, index: stream.made, at: this.now,
		};
		stream.made += 1;
		if (stream.made < stream.outputTokens) {
			return [token];
		}

		this.#streams.delete(stream.id);
		return [token, {...token, kind: 'end'}];
	}

	#batch(): readonly Stream[] {
		return [...this.#streams.values()].filter(stream => stream.unfilledTokens <= 0).slice(0, shapes[this.role].mostStreams);
	}

	/** Prompts in order of importance, then arrival, up to the chunk's size. */
	#chunk(): ReadonlyArray<readonly [Stream, number]> {
		let left = shapes[this.role].chunkTokens;
		return [...this.#streams.values()]
			.filter(stream => stream.unfilledTokens > 0)
			.sort((first, second) => second.importance - first.importance)
			.flatMap((stream): ReadonlyArray<readonly [Stream, number]> => {
				const tokens = Math.min(left, stream.unfilledTokens);
				left -= tokens;
				return tokens > 0 ? [[stream, tokens]] : [];
			});
	}

	#iterationMilliseconds(promptTokens: number, streams: number): number {
		const {iterationMilliseconds, streamMilliseconds, prefillTokensPerSecond, slowness} = this.#profile;
		return slowness * (iterationMilliseconds + (streams * streamMilliseconds) + (promptTokens * millisecondsPerSecond / prefillTokensPerSecond));
	}

	#blocks(prompt: string): readonly number[] {
		return Array.from({length: Math.floor(prompt.length / blockCharacters)}, (_, index) => hasher.h32(prompt.slice(0, (index + 1) * blockCharacters)));
	}

	#cachedTokens(prompt: string): number {
		const blocks = this.#blocks(prompt);
		const firstMissing = blocks.findIndex(block => !this.#cache.has(block));
		return (firstMissing === -1 ? blocks.length : firstMissing) * tokensPerBlock;
	}

	#remember(prompt: string): void {
		for (const block of this.#blocks(prompt)) {
			this.#cache.delete(block);
			this.#cache.set(block, true);
		}

		const excess = this.#cache.size - Math.floor(this.#profile.cachedTokens / tokensPerBlock);
		for (const block of [...this.#cache.keys()].slice(0, Math.max(0, excess))) {
			this.#cache.delete(block);
		}
	}
}
