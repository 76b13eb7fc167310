/**
Remembers crashes of engines with the parts of the prompts that were lost in them.

A part is taken out of the crashes before the time at which a prompt with it was answered.
*/
import {rendezvousScore} from '../../routing/rendezvous-score.js';

type Crash = {
	readonly incarnation: string;
	/** When it was noticed first, by whichever gateway. */
	readonly at: number;
	/** The lost prompts, each by its parts that have not been cleared since; none when all have been. */
	readonly prompts: ReadonlyArray<ReadonlySet<string>>;
};

/** Bounds on what callers can make a gateway remember. */
const maxCrashes = 64;
const maxPromptsPerCrash = 32;
const maxPartsPerPrompt = 24;
const maxCleared = 4096;
/** Longer names of parts are told apart by their beginning only. */
const maxNameLength = 64;

const keyOf = (prompt: ReadonlySet<string>): string => [...prompt].toSorted().join(',');

/** One prompt of each combination of parts. */
const distinct = (prompts: ReadonlyArray<ReadonlySet<string>>): ReadonlyArray<ReadonlySet<string>> => [...new Map(prompts.map(prompt => [keyOf(prompt), prompt])).values()];

const partsOf = ({prompts}: Crash): ReadonlySet<string> => new Set(prompts.flatMap(prompt => [...prompt]));

const nameOf = (part: string): string => part.slice(0, maxNameLength);

/**
Crashes by the incarnation of the engine.

Invariant: no crash counts against a part that was cleared later.

@example
```
records.add('i-7f3a91c2 17', [['5c1e07a2', '91bd3f06']], at);
records.clear('5c1e07a2', at + 200);
records.newestFirst()[0].prompts; // [Set {'91bd3f06'}]
```
*/
export class CrashRecords {
	static readonly nameOf = nameOf;

	readonly #crashes = new Map<string, Crash>();
	readonly #clearedAt = new Map<string, number>();
	/** Number of crashes that count against each part. */
	readonly #counts = new Map<string, number>();

	/** Records a crash and the prompts lost in it, by their parts; true when that was not known yet. */
	add(incarnation: string, prompts: ReadonlyArray<readonly string[]>, at: number): boolean {
		const known = this.#crashes.get(incarnation);
		const since = Math.min(at, known?.at ?? at);
		const named = prompts.map(parts => new Set(this.#mostSuspectParts(incarnation, parts.map(part => nameOf(part)))));
		const crash = this.#withoutCleared({incarnation, at: since, prompts: [...known?.prompts ?? [], ...named]});
		const isNew = known === undefined || crash.prompts.length > known.prompts.length || since < known.at;
		if (isNew) {
			this.#set(crash);
		}

		return isNew;
	}

	/** Takes a part out of the crashes up to a time; true when any counted against it. */
	clear(part: string, at: number): boolean {
		const name = nameOf(part);
		const clearedAt = Math.max(at, this.#clearTime(name));
		this.#clearedAt.delete(name);
		this.#clearedAt.set(name, clearedAt);
		const [oldest] = this.#clearedAt.keys();
		if (this.#clearedAt.size > maxCleared && oldest !== undefined) {
			this.#clearedAt.delete(oldest);
		}

		const concerned = [...this.#crashes.values()].filter(crash => crash.at <= clearedAt && crash.prompts.some(prompt => prompt.has(name)));
		for (const crash of concerned) {
			this.#set(this.#withoutCleared(crash));
		}

		return concerned.length > 0;
	}

	/** True when a crash counts against a part. */
	has(part: string): boolean {
		return this.#counts.has(nameOf(part));
	}

	/** Parts against which at least so many crashes count. */
	partsWithCrashes(min: number): readonly string[] {
		return [...this.#counts].filter(([, count]) => count >= min).map(([part]) => part);
	}

	newestFirst(): readonly Crash[] {
		return [...this.#crashes.values()].toSorted((first, second) => second.at - first.at || first.incarnation.localeCompare(second.incarnation));
	}

	/** Parts that were cleared since `after`, with the time. */
	cleared(after: number): ReadonlyArray<{readonly part: string; readonly at: number}> {
		return [...this.#clearedAt].filter(([, at]) => at >= after).map(([part, at]) => ({part, at}));
	}

	/** Forgets what is older, but for the crashes in `held`; true when a crash was forgotten. */
	forgetBefore(oldest: number, held: ReadonlySet<string>): boolean {
		for (const [part, at] of this.#clearedAt) {
			if (at < oldest) {
				this.#clearedAt.delete(part);
			}
		}

		const forgotten = [...this.#crashes.values()].filter(({incarnation, at}) => at < oldest && !held.has(incarnation));
		this.#forget(forgotten);
		return forgotten.length > 0;
	}

	/** Forgets the oldest crash beyond the bound, of those that are not in `held` if there are any. */
	dropExcess(held: ReadonlySet<string>): void {
		if (this.#crashes.size <= maxCrashes) {
			return;
		}

		const oldestFirst = this.newestFirst().toReversed();
		this.#forget([oldestFirst.find(({incarnation}) => !held.has(incarnation)) ?? oldestFirst[0]!]);
	}

	#forget(crashes: readonly Crash[]): void {
		for (const crash of crashes) {
			this.#crashes.delete(crash.incarnation);
			this.#count(partsOf(crash), -1);
		}
	}

	#set(crash: Crash): void {
		const known = this.#crashes.get(crash.incarnation);
		this.#crashes.set(crash.incarnation, crash);
		this.#count(partsOf(crash), 1);
		this.#count(known === undefined ? new Set() : partsOf(known), -1);
	}

	#count(parts: ReadonlySet<string>, change: number): void {
		for (const part of parts) {
			const count = (this.#counts.get(part) ?? 0) + change;
			if (count === 0) {
				this.#counts.delete(part);
			} else {
				this.#counts.set(part, count);
			}
		}
	}

	/** When a prompt with a part was last known to be answered. */
	#clearTime(part: string): number {
		return this.#clearedAt.get(part) ?? Number.NEGATIVE_INFINITY;
	}

	#withoutCleared(crash: Crash): Crash {
		const prompts = crash.prompts.map(prompt => new Set([...prompt].filter(part => this.#clearTime(part) < crash.at)));
		const uncleared = distinct(prompts.filter(prompt => prompt.size > 0));
		return {...crash, prompts: this.#mostSuspect(uncleared)};
	}

	/** The parts that are kept of a prompt: those against which most crashes count, then others at random, so that a caller cannot hide one among many. */
	#mostSuspectParts(incarnation: string, parts: readonly string[]): readonly string[] {
		if (parts.length <= maxPartsPerPrompt) {
			return parts;
		}

		return parts
			.map(part => ({part, count: this.#counts.get(part) ?? 0, score: rendezvousScore(incarnation, part)}))
			.toSorted((first, second) => second.count - first.count || second.score - first.score)
			.slice(0, maxPartsPerPrompt)
			.map(({part}) => part);
	}

	/** The prompts that are kept of a crash: those with the parts against which most crashes count. */
	#mostSuspect(prompts: ReadonlyArray<ReadonlySet<string>>): ReadonlyArray<ReadonlySet<string>> {
		if (prompts.length <= maxPromptsPerCrash) {
			return prompts;
		}

		const weight = (prompt: ReadonlySet<string>): number => Math.max(0, ...[...prompt].map(part => this.#counts.get(part) ?? 0));
		return prompts.toSorted((first, second) => weight(second) - weight(first)).slice(0, maxPromptsPerCrash);
	}
}
