/**
Remembers the targets that are leaving or gone, so that none of them is used again.

A store that comes back from an older copy lists entries of targets that have gone since the
copy was made. Such an entry is no proof that its target lives: it stays until the store
finds that nobody renews it. So a target that went before the store came back is used
again only if its entry is still listed after that time, or was written anew.
*/
import type {StorePosition} from '../../../fleet/store-position.js';
import {isOlderPosition} from '../store/is-older-position.js';

type Gone = {
	/** Position of the list that lacked the target. */
	readonly position: StorePosition;
	readonly at: number;
	/** True once a later list had the target again, so that it lives. Kept, because peers may still report the former list. */
	isListedAgain: boolean;
};

/** How long an incarnation that is neither listed nor retained is remembered. */
const retentionMilliseconds = 60_000;
/** How long peers are told of it; shorter, so that gateways do not remind each other for good. */
const announceMilliseconds = 20_000;
/** An entry that nobody renews is removed after three heartbeats; one more allows for the store's own delay. */
const heartbeatsUntilRemoved = 4;

/**
Departures by target incarnation. Times are on the gateway's monotonic clock.

Invariant: an incarnation that was reported as leaving is remembered for as long as it is listed.

@example
```
departed.recordGone('i-7f3a91c2 17', {era: 3, revision: 900}, now);
departed.recordReturn(now);
departed.isStaleEntry('i-7f3a91c2 17', {era: 4, revision: 20}, readAt); // true
```
*/
export class DepartedTargets {
	/** When each leaving incarnation was last reported as leaving. */
	readonly #leaving = new Map<string, number>();
	readonly #gone = new Map<string, Gone>();
	/** The latest time at which the store can have come back, from a copy or from an outage. */
	#returnedAt = Number.NEGATIVE_INFINITY;
	readonly #removalMilliseconds: number;

	/** `heartbeatMilliseconds` is the interval at which targets renew their entries. */
	constructor(heartbeatMilliseconds: number) {
		this.#removalMilliseconds = heartbeatMilliseconds * heartbeatsUntilRemoved;
	}

	/** Records that an incarnation is leaving; true when that was not known yet. */
	markLeaving(incarnation: string, now: number): boolean {
		const isNew = !this.#leaving.has(incarnation);
		if (isNew) {
			this.#leaving.set(incarnation, now);
		}

		return isNew;
	}

	isLeaving(incarnation: string): boolean {
		return this.#leaving.has(incarnation);
	}

	/** Records that a list lacked an incarnation, `ageMilliseconds` ago; true when that was not known yet. */
	recordGone(incarnation: string, position: StorePosition, now: number, ageMilliseconds = 0): boolean {
		const known = this.#gone.get(incarnation);
		const isNew = known === undefined || isOlderPosition(known.position, position);
		if (isNew) {
			this.#gone.set(incarnation, {position, at: now - ageMilliseconds, isListedAgain: false});
		}

		return isNew;
	}

	/** Records that an incarnation is listed and not stale. */
	recordListed(incarnation: string): void {
		const gone = this.#gone.get(incarnation);
		if (gone !== undefined) {
			gone.isListedAgain = true;
		}
	}

	/** Records the first list of an era, or the first after an outage, during which the store may remove nothing. */
	recordReturn(now: number): void {
		this.#returnedAt = now;
	}

	/** True if an incarnation that is listed at this position must not be used because its entry may be stale. `readAt` is when the list was last known to be current. */
	isStaleEntry(incarnation: string, list: StorePosition, readAt: number): boolean {
		const gone = this.#gone.get(incarnation);
		if (gone === undefined || gone.isListedAgain) {
			return false;
		}

		const isOfEarlierEra = gone.position.era !== list.era && isOlderPosition(gone.position, list);
		return isOfEarlierEra ? readAt - this.#returnedAt < this.#removalMilliseconds : isOlderPosition(list, gone.position);
	}

	/** Forgets what no longer matters, given the incarnations that are listed or retained. */
	forgetOld(known: ReadonlySet<string>, now: number): void {
		for (const [incarnation, reportedAt] of this.#leaving) {
			if (known.has(incarnation)) {
				this.#leaving.set(incarnation, now);
			} else if (now - reportedAt > retentionMilliseconds) {
				this.#leaving.delete(incarnation);
			}
		}

		for (const [incarnation, {at}] of this.#gone) {
			if (!known.has(incarnation) && now - at > retentionMilliseconds) {
				this.#gone.delete(incarnation);
			}
		}
	}

	/** Leaving incarnations that peers are told of. */
	announcedLeaving(now: number): readonly string[] {
		return [...this.#leaving].filter(([, reportedAt]) => now - reportedAt < announceMilliseconds).map(([incarnation]) => incarnation);
	}

	/** Incarnations that lists lacked, of which peers are told. */
	announcedGone(now: number): ReadonlyArray<{readonly incarnation: string; readonly position: StorePosition; readonly ageMilliseconds: number}> {
		return [...this.#gone]
			.filter(([, {at, isListedAgain}]) => !isListedAgain && now - at < announceMilliseconds)
			.map(([incarnation, {position, at}]) => ({incarnation, position, ageMilliseconds: Math.round(now - at)}));
	}
}
