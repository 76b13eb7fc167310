/**
Holds back prompts with parts that crash engines, as far as this gateway and its peers have found out.

Crashes are told to all peers at once and clearances within a moment. What any gateway knows is repeated
to one peer after the other, so that a gateway that was cut off or has just started learns it too.
*/
import type {Logger} from 'roarr';
import {CrashEvidence} from '../decisions/entry/crashes/crash-evidence.js';
import {engineOwner} from '../decisions/entry/prompts/engine-owner.js';
import type {PeerMessage} from '../generated/peer-messages.js';
import type {CrashMonitor} from './crash-monitor.js';
import type {EntryMetrics} from './entry-metrics.js';

type Report = Extract<PeerMessage, {kind: 'crashes'}>;
type Loss = Parameters<ConstructorParameters<typeof CrashMonitor>[0]['onLost']>[0];
type QuarantinedParts = CrashEvidence['quarantined'][number];
type ReportedCrash = CrashEvidence['crashes'][number];
type ClearedPart = ReturnType<CrashEvidence['cleared']>[number];

type QuarantineOptions = {
	readonly name: string;
	/** Names of the peers that can be reached. */
	readonly peers: () => readonly string[];
	/** Called when there is a crash that peers do not know of. */
	readonly onCrash: () => void;
	/** Called when parts come into quarantine or leave it, and when engines crash on parts in it. */
	readonly onChange: () => void;
	readonly log: Pick<Logger, 'info' | 'warn'>;
	readonly metrics: Pick<EntryMetrics, 'count' | 'gauge'>;
	readonly now: () => number;
};

type Held = {readonly parts: readonly string[]; readonly crashes: number; readonly lastCrashAge: number; readonly trialDueIn: number};

/** Prompts and cleared parts that one report names. */
const maxReported = 512;
/** How long a clearance is repeated to peers. */
const repeatClearedMilliseconds = 60_000;
/** A prompt that is tried counts as lost track of after this time. */
const trialMilliseconds = 10_000;

const keyOf = ({parts}: QuarantinedParts): string => parts.join(',');

/**
One instance a process.

Invariant: a prompt is held back only if it has all parts of a group in quarantine.

@example
```
const held = quarantine.check('9c41', ['5c1e07a2', '91bd3f06']);
```
*/
export class PromptQuarantine {
	readonly #options: QuarantineOptions;
	readonly #evidence = new CrashEvidence();
	#crashNews: ReportedCrash[] = [];
	#clearedNews: ClearedPart[] = [];
	#trial: {readonly requestId: string; readonly at: number} | undefined;
	#loggedKeys: ReadonlySet<string> = new Set();
	#changes = 0;
	/** Crashes behind what is in quarantine, as one text. */
	#heldCrashes = '';

	constructor(options: QuarantineOptions) {
		this.#options = options;
	}

	/** Rises whenever parts come into quarantine or leave it. */
	get changes(): number {
		return this.#changes;
	}

	/** Returns what a prompt is held back for, and when one like it may be tried; undefined when it may be sent. */
	check(requestId: string, parts: readonly string[]): Held | undefined {
		const group = this.#evidence.find(parts);
		return group === undefined || this.#isTrial(requestId, group) ? undefined : this.#describe(group);
	}

	/** Records requests that were lost in a crash which this gateway has noticed. */
	recordLoss({target, requests, at, isCrash}: Loss): void {
		const prompts = requests.map(({parts}) => parts).filter(parts => parts.length > 0);
		if (isCrash && prompts.length > 0 && this.#evidence.recordCrash(target.incarnation, prompts, at)) {
			this.#crashNews.push({incarnation: target.incarnation, at, prompts: prompts.map(parts => new Set(parts))});
			this.#logChanges('own');
			this.#options.onCrash();
		}
	}

	/** Records that a prompt with these parts was answered by this gateway. */
	recordAnswered(parts: readonly string[]): void {
		const at = this.#options.now();
		const cleared = this.#evidence.recordAnswered(parts, at);
		if (cleared.length > 0) {
			this.#clearedNews.push(...cleared.map(part => ({part, at})));
			this.#logChanges('own');
		}
	}

	/** Ends the quarantine of a part at an operator's request, at all gateways; false when it is in none. */
	lift(part: string): boolean {
		const isHeld = this.#evidence.quarantined.some(({parts}) => parts.includes(part));
		if (isHeld) {
			this.#options.log.warn({event: 'quarantine lifted', part}, 'an operator lifts the quarantine of a prompt part');
			this.recordAnswered([part]);
		}

		return isHeld;
	}

	/** What is in quarantine. */
	list(): readonly Held[] {
		return this.#evidence.quarantined.map(group => this.#describe(group));
	}

	/** Returns what peers have not been told; undefined when that is nothing. */
	takeNews(): Report | undefined {
		const news = this.#report(this.#crashNews, this.#clearedNews);
		this.#crashNews = [];
		this.#clearedNews = [];
		return news;
	}

	/** Returns all that a peer may lack; undefined when that is nothing. */
	report(): Report | undefined {
		return this.#report(this.#evidence.crashes, this.#evidence.cleared(this.#options.now() - repeatClearedMilliseconds));
	}

	/** Returns the crashes behind what is in quarantine. */
	reportHeld(): Report {
		const held = new Set(this.#evidence.quarantined.flatMap(({crashes}) => crashes));
		return this.#createReport(this.#evidence.crashes.filter(({incarnation}) => held.has(incarnation)), []);
	}

	/** Adopts a report of a peer, or of the store. */
	adopt(source: string, {crashes, cleared}: Report): void {
		const now = this.#options.now();
		for (const [index, part] of cleared.parts.entries()) {
			this.#evidence.recordCleared(part, now - (cleared.ages[index] ?? 0));
		}

		for (const {engine, age, prompts} of crashes) {
			this.#evidence.recordCrash(engine, prompts, now - age);
		}

		this.#logChanges(source);
	}

	/** Forgets what is too old to count, and updates gauges. */
	maintain(): void {
		this.#evidence.forgetOld(this.#options.now());
		this.#logChanges('age');
		this.#options.metrics.gauge('quarantine.groups', this.#evidence.quarantined.length);
		this.#options.metrics.gauge('quarantine.crashes', this.#evidence.crashes.length);
	}

	/** True for the one prompt that is tried after a long time without a crash. One gateway tries it for all that are linked. */
	#isTrial(requestId: string, group: QuarantinedParts): boolean {
		const {name, peers, now, log, metrics} = this.#options;
		const at = now();
		if (at < group.trialDueAt || engineOwner(keyOf(group), [name, ...peers()]) !== name) {
			return false;
		}

		if (this.#trial === undefined || at - this.#trial.at > trialMilliseconds) {
			this.#trial = {requestId, at};
			metrics.count('quarantine.trial');
			log.warn({event: 'quarantine trial', request: requestId, ...this.#describe(group)}, 'a quarantined prompt is tried');
		}

		return this.#trial.requestId === requestId;
	}

	#describe(group: QuarantinedParts): Held {
		const now = this.#options.now();
		return {
			parts: group.parts,
			crashes: group.crashes.length,
			lastCrashAge: Math.round(now - group.lastCrashAt),
			trialDueIn: Math.max(0, Math.round(group.trialDueAt - now)),
		};
	}

	#report(crashes: readonly ReportedCrash[], cleared: readonly ClearedPart[]): Report | undefined {
		return crashes.length === 0 && cleared.length === 0 ? undefined : this.#createReport(crashes, cleared);
	}

	#createReport(crashes: readonly ReportedCrash[], cleared: readonly ClearedPart[]): Report {
		const now = this.#options.now();
		const ageOf = ({at}: {readonly at: number}): number => Math.max(0, Math.round(now - at));
		const named = cleared.slice(-maxReported);
		let room = maxReported;
		const rows = crashes.map(crash => {
			const prompts = crash.prompts.slice(0, room).map(parts => [...parts]);
			room -= prompts.length;
			return {engine: crash.incarnation, age: ageOf(crash), prompts};
		});
		return {
			kind: 'crashes',
			crashes: rows,
			cleared: {parts: named.map(({part}) => part), ages: named.map(row => ageOf(row))},
		};
	}

	/** Writes one line for each group of parts that has come into quarantine or left it. */
	#logChanges(source: string): void {
		const {log, metrics} = this.#options;
		const groups = this.#evidence.quarantined;
		const keys = new Set(groups.map(group => keyOf(group)));
		for (const group of groups.filter(candidate => !this.#loggedKeys.has(keyOf(candidate)))) {
			this.#changes++;
			metrics.count('quarantine.began');
			log.warn({
				event: 'quarantine began', source, ...this.#describe(group), engines: group.crashes.join(','),
			}, 'prompts with these parts are held back because engines crash on them');
		}

		for (const key of [...this.#loggedKeys].filter(candidate => !keys.has(candidate))) {
			this.#changes++;
			metrics.count('quarantine.ended');
			log.warn({event: 'quarantine ended', source, parts: key}, 'prompts with these parts are sent again');
		}

		this.#loggedKeys = keys;
		const crashes = groups.flatMap(group => group.crashes).join(',');
		if (crashes !== this.#heldCrashes) {
			this.#heldCrashes = crashes;
			this.#options.onChange();
		}
	}
}
