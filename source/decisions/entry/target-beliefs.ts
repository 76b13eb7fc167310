/**
What a gateway believes of the targets of the fleet, and from which source.

A leaving target must get no new work a few seconds after the store took its
word, so every word of leaving counts at once, from whichever source it comes,
and stays true for that incarnation. Entries that lapse because the store was
away say nothing of their targets: these are kept until the store has been back
long enough for living targets to be listed again.
*/
import type {TargetRecord} from '../../fleet/target-record.js';

/** Time after the store's return within which a living target is listed again. */
const relistMilliseconds = 2000;
/** How long the leaving of an incarnation is remembered after it was last heard of. */
const leavingMemoryMilliseconds = 60_000;

type Belief = {readonly record: TargetRecord; readonly heardAt: number};

type Change = {readonly kind: 'appeared' | 'leaving' | 'gone' | 'changed'; readonly record: TargetRecord; readonly source: string};

/**
The targets that may get work. Times are on the gateway's monotonic clock.

Invariant: an incarnation that was ever said to leave is never usable again.

@example
```
beliefs.adoptList(records, 'store', clock());
const candidates = beliefs.usable('appraiser-models');
```
*/
export class TargetBeliefs {
	#beliefs: ReadonlyMap<string, Belief> = new Map();
	readonly #leaving = new Map<string, number>();
	/** Usable targets by service, until the next change. */
	readonly #usable = new Map<string, readonly TargetRecord[]>();
	#storeLostAt: number | undefined;
	#storeReturnedAt = Number.NEGATIVE_INFINITY;
	#listedAt = Number.NEGATIVE_INFINITY;

	/** When the last whole list was adopted. */
	get listedAt(): number {
		return this.#listedAt;
	}

	/** Records that a call to the store failed. */
	storeFailed(now: number): void {
		this.#storeLostAt ??= now;
	}

	/** Takes a whole list; gives what changed. */
	adoptList(records: readonly TargetRecord[], source: 'store' | 'peer', now: number): readonly Change[] {
		if (source === 'store' && this.#storeLostAt !== undefined) {
			this.#storeLostAt = undefined;
			this.#storeReturnedAt = now;
		}

		this.#listedAt = now;
		const former = this.#beliefs;
		const listed = new Map(records
			.map(record => {
				const known = former.get(record.id)?.record;
				return known !== undefined && known.bornAt > record.bornAt ? known : record;
			})
			.map(record => [record.id, {record, heardAt: now}]));
		const kept = [...former].filter(([id, belief]) => !listed.has(id) && this.#mayBeRelisted(belief, now));
		const changes = [...listed.values()].flatMap(({record}) => this.#compare(former.get(record.id)?.record, record, source, now));
		const gone = [...former].filter(([id]) => !listed.has(id) && !kept.some(([keptId]) => keptId === id));
		this.#beliefs = new Map([...listed, ...kept]);
		this.#usable.clear();
		this.#forgetOldLeaving(now);
		return [...changes, ...gone.map(([, {record}]) => ({kind: 'gone' as const, record, source}))];
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
		return [...this.#beliefs.values()].map(({record}) => record);
	}

	find(id: string): TargetRecord | undefined {
		return this.#beliefs.get(id)?.record;
	}

	/** Targets of a service that may get work. */
	usable(service: string): readonly TargetRecord[] {
		const known = this.#usable.get(service) ?? this.all().filter(record => record.service === service && this.isUsable(record));
		this.#usable.set(service, known);
		return known;
	}

	/** True while work may be sent to this incarnation. */
	isUsable(record: TargetRecord): boolean {
		const current = this.#beliefs.get(record.id)?.record;
		return current?.bornAt === record.bornAt && current.address === record.address
			&& !current.isDraining && !this.#leaving.has(current.incarnation);
	}

	#mayBeRelisted(belief: Belief, now: number): boolean {
		return !belief.record.isDraining && now - this.#storeReturnedAt < relistMilliseconds;
	}

	#compare(former: TargetRecord | undefined, record: TargetRecord, source: string, now: number): readonly Change[] {
		if (record.isDraining) {
			return this.markLeaving(record.incarnation, now) ? [{kind: 'leaving', record, source}] : [];
		}

		if (former === undefined) {
			return [{kind: 'appeared', record, source}];
		}

		const isSame = former.bornAt === record.bornAt && former.address === record.address && former.role === record.role;
		return isSame ? [] : [{kind: 'changed', record, source}];
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
