/**
Keeps a gateway's view of the registered targets, from the store and from peers.

A few seconds after the store has recorded that a target leaves, the target must get
no new work. The store records that in two ways: the target's entry is marked as
draining, or the entry is removed. A draining mark stays valid for that incarnation,
whichever source reports it. A removal shows only as a list without the target, so
lists are ordered by the store's revision and not by their arrival: an older list,
from a slower peer or in a late answer, is ignored.

Entries that expire because the store was unavailable say nothing about their targets.
These targets are retained until the store has been back long enough for live targets
to be listed again. Only the time between two lists, from whichever gateway, shows that
the store was unavailable. Calls of this gateway that fail while others succeed leave
no such gap, and no target may be retained because of them.

A store that comes back from an older copy begins a new era. What was read in an earlier
one is no proof of anything: live targets whose entries the copy lacks are retained until
they are certain to be listed again, and targets that have gone stay so although the copy
lists them (see `DepartedTargets`).
*/
import type {StorePosition} from '../../../fleet/store-position.js';
import type {TargetList} from '../../../fleet/target-list.js';
import type {TargetRecord} from '../../../fleet/target-record.js';
import {isOlderPosition} from '../store/is-older-position.js';
import {DepartedTargets} from './departed-targets.js';
import {hashTargetList} from './hash-target-list.js';

/** Time after the return of the store within which a live target is listed again. */
const relistMilliseconds = 2000;
/** An entry expires after three heartbeats, one of which may have passed before the store became unavailable. */
const heartbeatsToExpire = 2;

type Change = {readonly kind: 'appeared' | 'leaving' | 'gone' | 'changed'; readonly record: TargetRecord};

/**
The targets that may get work. Times are on the gateway's monotonic clock.

Invariants: an incarnation that was ever reported as leaving never becomes usable
again; a list that is older than the one in force changes nothing.

@example
```
registry.adopt({era: 1, revision: 41, targets}, askedAt, clock());
const candidates = registry.usable('appraiser-models');
```
*/
export class TargetRegistry {
	#list: TargetList = {era: 0, revision: 0, targets: []};
	#listHash = hashTargetList([]);
	#readAt = Number.NEGATIVE_INFINITY;
	#listed: ReadonlyMap<string, TargetRecord> = new Map();
	/** Listed targets, and those that are retained although they are not listed. */
	#records: ReadonlyMap<string, TargetRecord> = new Map();
	/** Listed incarnations whose entries may be stale: their targets had gone before the store came back. */
	#staleEntries: ReadonlySet<string> = new Set();
	readonly #departed: DepartedTargets;
	/** Cache of the usable targets by service, cleared at each change. */
	readonly #usable = new Map<string, readonly TargetRecord[]>();
	/** A target that is missing from a list read before this time is retained. */
	#retainUntil = Number.NEGATIVE_INFINITY;
	readonly #expiryMilliseconds: number;

	/** `heartbeatMilliseconds` is the interval at which targets renew their entries. */
	constructor(heartbeatMilliseconds: number) {
		this.#expiryMilliseconds = heartbeatMilliseconds * heartbeatsToExpire;
		this.#departed = new DepartedTargets(heartbeatMilliseconds);
	}

	/** The newest list, as the store returned it. */
	get list(): TargetList {
		return this.#list;
	}

	/** Hash of the newest list, which gateways compare instead of the list itself. */
	get listHash(): number {
		return this.#listHash;
	}

	/** Number of targets that are retained although they are not listed. */
	get retainedCount(): number {
		return this.#records.size - this.#listed.size;
	}

	/** Number of listed targets that are not used because their entries may be stale. */
	get staleEntryCount(): number {
		return this.#staleEntries.size;
	}

	/** The latest time at which the newest list is known to have been current. */
	get readAt(): number {
		return this.#readAt;
	}

	/** Adopts a list that was requested at `readAt`; returns the changes. */
	adopt(list: TargetList, readAt: number, now: number): readonly Change[] {
		if (isOlderPosition(list, this.#list)) {
			return [];
		}

		const isFirstOfEra = list.era !== this.#list.era;
		const isRestored = isFirstOfEra && this.#list.era !== 0;
		if (isFirstOfEra) {
			this.#departed.recordReturn(now);
		}

		this.#list = list;
		this.#listHash = hashTargetList(list.targets);
		return this.#reconcile(readAt, now, isRestored);
	}

	/** Records that the newest list was still current at `readAt`, at this revision; returns the targets that are no longer retained. */
	confirm(revision: number, readAt: number, now: number): readonly Change[] {
		this.#list = {...this.#list, revision: Math.max(revision, this.#list.revision)};
		return this.#reconcile(readAt, now);
	}

	/** Accepts the next list whatever its position, because another store numbers its eras and revisions anew. */
	resetPosition(): void {
		this.#list = {...this.#list, era: 0, revision: 0};
	}

	/** Records that a peer, the target itself, or its address reported an incarnation as leaving; true when that was not known yet. */
	markLeaving(incarnation: string, now: number): boolean {
		const isNew = this.#departed.markLeaving(incarnation, now);
		if (isNew) {
			this.#usable.clear();
		}

		return isNew;
	}

	/** Records a peer's report that a list lacked an incarnation. */
	recordGone(incarnation: string, position: StorePosition, now: number, ageMilliseconds: number): void {
		if (this.#departed.recordGone(incarnation, position, now, ageMilliseconds)) {
			this.#findStaleEntries();
		}
	}

	/** Incarnations that are known to be leaving, for the digest to peers. */
	leaving(now: number): readonly string[] {
		return this.#departed.announcedLeaving(now);
	}

	/** Incarnations that have gone lately, for the digest to peers. */
	gone(now: number): ReturnType<DepartedTargets['announcedGone']> {
		return this.#departed.announcedGone(now);
	}

	all(): readonly TargetRecord[] {
		return [...this.#records.values()];
	}

	find(id: string): TargetRecord | undefined {
		return this.#records.get(id);
	}

	/** Targets of a service that may get work. */
	usable(service: string): readonly TargetRecord[] {
		const known = this.#usable.get(service) ?? this.all().filter(record => record.service === service && this.isUsable(record));
		this.#usable.set(service, known);
		return known;
	}

	/** True while work may be sent to this incarnation. */
	isUsable(record: TargetRecord): boolean {
		const current = this.#records.get(record.id);
		return current?.bornAt === record.bornAt && current.address === record.address
			&& !current.isDraining && !this.#departed.isLeaving(current.incarnation) && !this.#staleEntries.has(current.incarnation);
	}

	/** Updates the records from the newest list. */
	#reconcile(readAt: number, now: number, isRestored = false): readonly Change[] {
		const hasGap = this.#hasGapUntil(readAt);
		const mayHaveExpired = isRestored || hasGap;
		if (hasGap) {
			this.#departed.recordReturn(now);
		}

		// The list may have been read later than `readAt`, but not later than now.
		this.#retainUntil = mayHaveExpired ? now + relistMilliseconds : this.#retainUntil;
		this.#readAt = Math.max(this.#readAt, readAt);
		const previous = this.#records;
		const listed = new Map(this.#list.targets
			.map(record => {
				const known = previous.get(record.id);
				return known !== undefined && known.bornAt > record.bornAt ? known : record;
			})
			.map(record => [record.id, record]));
		const missing = [...previous.values()].filter(({id}) => !listed.has(id));
		const retained = missing.filter(({isDraining, incarnation}) => !isDraining && !this.#staleEntries.has(incarnation) && this.#readAt < this.#retainUntil);
		this.#listed = listed;
		this.#records = new Map([...listed, ...retained.map(record => [record.id, record] as const)]);
		const gone = missing.filter(({id}) => !this.#records.has(id)).map(record => ({kind: 'gone' as const, record}));
		for (const {record: {incarnation}} of gone) {
			this.#departed.recordGone(incarnation, this.#list, now);
		}

		this.#departed.forgetOld(new Set(this.all().map(({incarnation}) => incarnation)), now);
		const formerStaleEntries = this.#staleEntries;
		this.#findStaleEntries();
		const changes = [...listed.values()]
			.filter(({incarnation}) => !this.#staleEntries.has(incarnation))
			.flatMap(record => this.#compare(formerStaleEntries.has(record.incarnation) ? undefined : previous.get(record.id), record, now));
		return [...changes, ...gone];
	}

	/** True when entries may have expired in the time between the last list and one that was read at `readAt`. */
	#hasGapUntil(readAt: number): boolean {
		return Number.isFinite(this.#readAt) && readAt - this.#readAt >= this.#expiryMilliseconds;
	}

	#findStaleEntries(): void {
		const incarnations = [...this.#listed.values()].map(({incarnation}) => incarnation);
		this.#staleEntries = new Set(incarnations.filter(incarnation => this.#departed.isStaleEntry(incarnation, this.#list, this.#readAt)));
		for (const incarnation of incarnations) {
			if (!this.#staleEntries.has(incarnation)) {
				this.#departed.recordListed(incarnation);
			}
		}

		this.#usable.clear();
	}

	#compare(previous: TargetRecord | undefined, record: TargetRecord, now: number): readonly Change[] {
		if (record.isDraining) {
			return this.#departed.markLeaving(record.incarnation, now) ? [{kind: 'leaving', record}] : [];
		}

		if (previous === undefined) {
			return [{kind: 'appeared', record}];
		}

		const isSame = previous.bornAt === record.bornAt && previous.address === record.address && previous.role === record.role;
		return isSame ? [] : [{kind: 'changed', record}];
	}
}
