/**
What a gateway believes of the targets of the fleet, and from which source.

A leaving target must get no new work a few seconds after the store took its
word. Its word comes in two ways: its entry says that it drains, or its entry
goes. The first stays true for that incarnation, from whichever source it comes.
The second is told by a list that leaves the target out, so lists count in the
order in which the store made them, not in that in which they arrive: an older
one, from a slower peer or a late answer, says nothing.

Entries that lapse because the store was away say nothing of their targets: these
are kept until the store has been back long enough for living targets to be
listed again. That the store was away is told by the time between two lists,
from whichever gateway, and by nothing else: calls of this gateway that fail
while others are answered leave no such gap, and no target may be kept for them.
*/
import type {TargetList} from '../../fleet/target-list.js';
import type {TargetRecord} from '../../fleet/target-record.js';
import {nameList} from './name-list.js';

/** Time after the store's return within which a living target is listed again. */
const relistMilliseconds = 2000;
/** An entry lapses after three heartbeats, of which one may have passed before the store went away. */
const heartbeatsToLapse = 2;
/** How long the leaving of an incarnation is remembered after it was last heard of. */
const leavingMemoryMilliseconds = 60_000;

type Change = {readonly kind: 'appeared' | 'leaving' | 'gone' | 'changed'; readonly record: TargetRecord};

/**
The targets that may get work. Times are on the gateway's monotonic clock.

Invariants: an incarnation that was ever said to leave is never usable again; a
list that is older than the one in force changes nothing.

@example
```
beliefs.adopt({revision: 41, targets}, askedAt, clock());
const candidates = beliefs.usable('appraiser-models');
```
*/
export class TargetBeliefs {
	#list: TargetList = {revision: 0, targets: []};
	#listName = nameList([]);
	#readAt = Number.NEGATIVE_INFINITY;
	#listed: ReadonlyMap<string, TargetRecord> = new Map();
	/** Listed targets, and those that are kept although they are not. */
	#records: ReadonlyMap<string, TargetRecord> = new Map();
	readonly #leaving = new Map<string, number>();
	/** Usable targets by service, until the next change. */
	readonly #usable = new Map<string, readonly TargetRecord[]>();
	/** Lists that were read before this do not end a target that they leave out. */
	#keepsUntil = Number.NEGATIVE_INFINITY;
	readonly #lapseMilliseconds: number;

	/** `heartbeatMilliseconds` is how often targets renew their entries. */
	constructor(heartbeatMilliseconds: number) {
		this.#lapseMilliseconds = heartbeatMilliseconds * heartbeatsToLapse;
	}

	/** The newest list, as the store made it. */
	get list(): TargetList {
		return this.#list;
	}

	/** Names the content of the newest list. */
	get listName(): number {
		return this.#listName;
	}

	/** Targets that are not listed and count all the same. */
	get kept(): number {
		return this.#records.size - this.#listed.size;
	}

	/** When it was known last that the newest list still held. */
	get readAt(): number {
		return this.#readAt;
	}

	/** Takes a list that was asked for at `readAt`; gives what it changed. */
	adopt(list: TargetList, readAt: number, now: number): readonly Change[] {
		if (list.revision < this.#list.revision) {
			return [];
		}

		this.#list = list;
		this.#listName = nameList(list.targets);
		return this.#settle(readAt, now);
	}

	/** Takes the word that the newest list still held at `readAt`, at that revision; gives what is no longer kept. */
	confirm(revision: number, readAt: number, now: number): readonly Change[] {
		this.#list = {...this.#list, revision: Math.max(revision, this.#list.revision)};
		return this.#settle(readAt, now);
	}

	/** Takes the next list whatever its revision, as another store counts anew. */
	storeChanged(): void {
		this.#list = {...this.#list, revision: 0};
	}

	/** Takes the word of a peer or of the target's address that an incarnation leaves; true when it is news. */
	markLeaving(incarnation: string, now: number): boolean {
		const isNews = !this.#leaving.has(incarnation);
		this.#leaving.set(incarnation, now);
		if (isNews) {
			this.#usable.clear();
		}

		return isNews;
	}

	/** Incarnations that are known to leave, to be told to peers. */
	leaving(): readonly string[] {
		return [...this.#leaving.keys()];
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
			&& !current.isDraining && !this.#leaving.has(current.incarnation);
	}

	/** Brings the records in line with the newest list. */
	#settle(readAt: number, now: number): readonly Change[] {
		const mayHaveLapsed = Number.isFinite(this.#readAt) && readAt - this.#readAt >= this.#lapseMilliseconds;
		this.#keepsUntil = mayHaveLapsed ? readAt + relistMilliseconds : this.#keepsUntil;
		this.#readAt = Math.max(this.#readAt, readAt);
		const former = this.#records;
		const listed = new Map(this.#list.targets
			.map(record => {
				const known = former.get(record.id);
				return known !== undefined && known.bornAt > record.bornAt ? known : record;
			})
			.map(record => [record.id, record]));
		const missing = [...former.values()].filter(({id}) => !listed.has(id));
		const kept = missing.filter(({isDraining}) => !isDraining && this.#readAt < this.#keepsUntil);
		this.#listed = listed;
		this.#records = new Map([...listed, ...kept.map(record => [record.id, record] as const)]);
		this.#usable.clear();
		this.#forgetOldLeaving(now);
		const gone = missing.filter(({id}) => !this.#records.has(id)).map(record => ({kind: 'gone' as const, record}));
		return [...[...listed.values()].flatMap(record => this.#compare(former.get(record.id), record, now)), ...gone];
	}

	#compare(former: TargetRecord | undefined, record: TargetRecord, now: number): readonly Change[] {
		if (record.isDraining) {
			return this.markLeaving(record.incarnation, now) ? [{kind: 'leaving', record}] : [];
		}

		if (former === undefined) {
			return [{kind: 'appeared', record}];
		}

		const isSame = former.bornAt === record.bornAt && former.address === record.address && former.role === record.role;
		return isSame ? [] : [{kind: 'changed', record}];
	}

	#forgetOldLeaving(now: number): void {
		for (const [incarnation, heardAt] of this.#leaving) {
			if (now - heardAt > leavingMemoryMilliseconds) {
				this.#leaving.delete(incarnation);
				this.#usable.clear();
			}
		}
	}
}
