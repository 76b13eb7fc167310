/**
Finds the parts of prompts that crash the engines that answer them.

Some content crashes every engine that begins to answer it. A prompt with it takes down one
engine after another, and dozens of sound requests with each. Sound requests that are lost
in the same crash share callers and parts with the crashing one, so a single crash proves
nothing. But a part that crashes engines is in a request that was lost in each of these
crashes, and in none that was answered since. So each crash counts against all parts of the
prompts that were lost in it, until a prompt with the part is answered anywhere.

Ordinary crashes make no part suspect for long: parts that many requests have are cleared
within moments, and a rare part is hardly ever lost several times in a row. Crashes at the
same moment count for little, because many engines may fail for one reason, such as power.
When all engines fail, nothing is answered and nothing cleared. So parts with which prompts
have been answered before need more crashes, and are tried again soon.
*/
import {AnsweredParts} from './answered-parts.js';
import {countCrashes} from './count-crashes.js';
import {CrashRecords} from './crash-records.js';
import {crashOccurrences} from './crash-occurrences.js';
import {suspectOf} from './suspect-of.js';

type QuarantinedParts = {
	/** Parts that were together in all lost prompts and cannot be told apart. Only prompts with all of them are held back, so that any other prompt with one of them tells. */
	readonly parts: readonly string[];
	/** Incarnations of the engines that crashed. */
	readonly crashes: readonly string[];
	readonly lastCrashAt: number;
	/** After this time one prompt with the parts may be tried. */
	readonly trialDueAt: number;
};

type Thresholds = {
	/** Crashes in a row, without an answer, from which parts are quarantined. */
	readonly minCrashes: number;
	/** Crashes at the same moment that count. */
	readonly maxPerOccurrence: number;
	/** Time without a crash after which one prompt with the parts may be tried. */
	readonly trialPauseMilliseconds: number;
};

type Suspect = ReturnType<typeof suspectOf> & {
	readonly thresholds: Thresholds;
	/** Crashes that are missing until the part is quarantined; negative when there are more than enough. */
	readonly missing: number;
	/** Crashes, with a bonus for parts that are held already. */
	readonly weight: number;
};

/** For parts with which no prompt is known to have been answered. */
const newPart: Thresholds = {minCrashes: 4, maxPerOccurrence: 2, trialPauseMilliseconds: 300_000};
/** For parts with which prompts have been answered. */
const establishedPart: Thresholds = {minCrashes: 8, maxPerOccurrence: 1, trialPauseMilliseconds: 10_000};
/** Crashes by which a part must exceed one that only ever comes with it, or that is held already, to take its place. */
const minExcessCrashes = 2;
/** How long a crash counts against parts; parts in quarantine stay there as long after their last crash. */
const retentionMilliseconds = 600_000;

/** True when most of the lost prompts with a suspect had the other part too, and not the other way round. */
const isNarrower = (suspect: Suspect, broadest: Suspect): boolean => {
	const shared = suspect.lostPrompts.filter(prompt => prompt.has(broadest.part)).length;
	return shared >= suspect.lostPrompts.length / 2 && !broadest.companions.includes(suspect.part);
};

/** A part that comes with the broadest suspect and explains nearly as many crashes is the likelier cause, and holds back fewer prompts. */
const narrowest = (broadest: Suspect, suspects: readonly Suspect[]): Suspect => suspects
	.find(suspect => broadest.crashes.length - suspect.crashes.length < minExcessCrashes && isNarrower(suspect, broadest)) ?? broadest;

/**
Times are on the gateway's monotonic clock.

Invariants: recording a crash or a clearance again changes nothing, so that gateways may tell
each other what they have been told; memory is bounded whatever callers send.

@example
```
evidence.recordCrash('i-7f3a91c2 17', [['5c1e07a2', '91bd3f06'], ['5c1e07a2']], at);
evidence.recordAnswered(['5c1e07a2'], now);
evidence.find(['5c1e07a2', '91bd3f06'])?.parts; // ['91bd3f06'] after four such crashes
```
*/
export class CrashEvidence {
	readonly #records = new CrashRecords();
	readonly #answered = new AnsweredParts();
	#quarantined: readonly QuarantinedParts[] = [];
	/** True when crashes or clearances have changed since `#quarantined` was found. */
	#isOutdated = false;

	/** What is in quarantine, the parts with the most crashes first. */
	get quarantined(): readonly QuarantinedParts[] {
		if (this.#isOutdated) {
			this.#isOutdated = false;
			this.#quarantined = this.#findQuarantined(new Set(this.#quarantined.flatMap(({parts}) => parts)));
		}

		return this.#quarantined;
	}

	/** Crashes that count against parts, the newest first. */
	get crashes(): ReturnType<CrashRecords['newestFirst']> {
		return this.#records.newestFirst();
	}

	/** Records the prompts that were lost in the crash of an engine, by their parts; true when that was not known yet. */
	recordCrash(incarnation: string, prompts: ReadonlyArray<readonly string[]>, at: number): boolean {
		const isNew = this.#records.add(incarnation, prompts, at);
		if (isNew) {
			this.#isOutdated = true;
			this.#records.dropExcess(new Set(this.quarantined.flatMap(({crashes}) => crashes)));
		}

		return isNew;
	}

	/** Records that a prompt with these parts was answered; returns the parts against which crashes counted until then. */
	recordAnswered(parts: readonly string[], at: number): readonly string[] {
		const names = parts.map(part => CrashRecords.nameOf(part));
		this.#answered.record(names);
		return names.filter(part => this.#records.has(part) && this.recordCleared(part, at));
	}

	/** Clears a part of the crashes up to a time, also of those that this gateway has yet to hear of; true when any counted until then. */
	recordCleared(part: string, at: number): boolean {
		const name = CrashRecords.nameOf(part);
		this.#answered.record([name]);
		const isCleared = this.#records.clear(part, at);
		this.#isOutdated ||= isCleared;
		return isCleared;
	}

	/** The quarantined parts that a prompt has all of; undefined when it may be sent. */
	find(parts: readonly string[]): QuarantinedParts | undefined {
		if (this.quarantined.length === 0) {
			return undefined;
		}

		const names = new Set(parts.map(part => CrashRecords.nameOf(part)));
		return this.quarantined.find(group => group.parts.every(part => names.has(part)));
	}

	/** Parts that were cleared since `after`. */
	cleared(after: number): ReturnType<CrashRecords['cleared']> {
		return this.#records.cleared(after);
	}

	/** Forgets crashes and clearances that are too old to count. */
	forgetOld(now: number): void {
		const oldest = now - retentionMilliseconds;
		const held = this.quarantined.filter(({lastCrashAt}) => lastCrashAt >= oldest).flatMap(({crashes}) => crashes);
		const isForgotten = this.#records.forgetBefore(oldest, new Set(held));
		this.#isOutdated ||= isForgotten;
	}

	/**
	Finds the parts that explain the most crashes, then those that explain the most of the
	rest, and so on. Parts that were lost beside crashing ones are left with few crashes or none.
	Parts that are held already can cause no more crashes, so others replace them only with
	clearly more, and they stay while some crashes have no other explanation.
	*/
	#findQuarantined(held: ReadonlySet<string>): readonly QuarantinedParts[] {
		const found: QuarantinedParts[] = [];
		const explained = new Set<string>();
		let group = this.#mostSuspect(explained, held);
		while (group !== undefined) {
			found.push(group);
			for (const incarnation of group.crashes) {
				explained.add(incarnation);
			}

			group = this.#mostSuspect(explained, held);
		}

		return found;
	}

	#mostSuspect(explained: ReadonlySet<string>, held: ReadonlySet<string>): QuarantinedParts | undefined {
		const suspects = this.#findSuspects(explained, held)
			.toSorted((first, second) => second.weight - first.weight || first.lostPrompts.length - second.lostPrompts.length || first.part.localeCompare(second.part));
		const broadest = suspects.find(({missing}) => missing <= 0);
		return broadest === undefined ? undefined : this.#quarantine(narrowest(broadest, suspects));
	}

	/** The parts that are to be quarantined, and those of which nearly enough crashes are known. */
	#findSuspects(explained: ReadonlySet<string>, held: ReadonlySet<string>): readonly Suspect[] {
		const all = this.#records.newestFirst();
		const unexplained = all.filter(({incarnation}) => !explained.has(incarnation));
		return this.#records.partsWithCrashes(newPart.minCrashes - minExcessCrashes + 1)
			.filter(part => suspectOf(part, unexplained).crashes.length >= minExcessCrashes)
			.map(part => this.#assess(part, held.has(part) ? all : unexplained, held.has(part)))
			.filter(({missing}) => missing < minExcessCrashes);
	}

	#assess(part: string, records: ReturnType<CrashRecords['newestFirst']>, isHeld: boolean): Suspect {
		const suspect = suspectOf(part, records);
		const thresholds = this.#answered.isEstablished(part) ? establishedPart : newPart;
		return {
			...suspect,
			thresholds,
			missing: thresholds.minCrashes - countCrashes(suspect.crashes, crashOccurrences(records), thresholds.maxPerOccurrence),
			weight: suspect.crashes.length + (isHeld ? minExcessCrashes - 1 : 0),
		};
	}

	#quarantine({companions, crashes, lastCrashAt, thresholds}: Suspect): QuarantinedParts {
		return {
			parts: companions, crashes, lastCrashAt, trialDueAt: lastCrashAt + thresholds.trialPauseMilliseconds,
		};
	}
}
