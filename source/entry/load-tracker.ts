/**
Tracks the outstanding work at each target: the attempts and the prefill backlog of
this gateway, and those that its peers reported. Load balancing needs the sum of both.
*/
import {announcedPrefillMilliseconds} from '../decisions/entry/prompts/announced-prefill-milliseconds.js';
import type {LoadEntry} from './load-entry.js';

/** A peer's report that is older than this no longer counts. */
const peerLoadLifetimeMilliseconds = 1500;
/** How long a backlog counts that an engine's owner gateway reported in its answer to a request for a grant. */
const ownerAnswerLifetimeMilliseconds = 40;

/** `readMilliseconds` is the prefill backlog: the remaining prefill time of the attempts. */
type TargetLoad = {readonly attempts: number; readonly readMilliseconds: number};

/**
Own entries are added and removed one by one. A peer's report replaces its previous one.

Invariant: the sums are never negative, because each entry is removed once.

@example
```
const entry = loadTracker.add('engine-3', 94);
loadTracker.endPrefill(entry);
loadTracker.remove(entry);
```
*/
export class LoadTracker {
	readonly #ownEntries = new Set<LoadEntry>();
	readonly #ownSums = new Map<string, {attempts: number; readMilliseconds: number}>();
	readonly #peerLoads = new Map<string, {readonly at: number; readonly loads: Map<string, TargetLoad>}>();
	/** While a backlog reported by an engine's owner gateway counts, the larger of it and the sum of the gateways' backlogs is used. */
	readonly #ownerBacklogs = new Map<string, {readonly validUntil: number; readonly readMilliseconds: number}>();
	readonly #onLongPrefillEnd: (target: string, readMilliseconds: number) => void;

	/** `onLongPrefillEnd` is called when the prefill of a long prompt has ended, or when it will not take place. */
	constructor(onLongPrefillEnd: (target: string, readMilliseconds: number) => void = () => undefined) {
		this.#onLongPrefillEnd = onLongPrefillEnd;
	}

	add(target: string, readMilliseconds: number, prefill?: LoadEntry['prefill']): LoadEntry {
		const entry: LoadEntry = {target, readMilliseconds, prefill};
		this.#ownEntries.add(entry);
		const sum = this.#ownSums.get(target) ?? {attempts: 0, readMilliseconds: 0};
		this.#ownSums.set(target, {attempts: sum.attempts + 1, readMilliseconds: sum.readMilliseconds + readMilliseconds});
		return entry;
	}

	/** Records that the prefill of an entry's prompt has ended. */
	endPrefill(entry: LoadEntry): void {
		const readMilliseconds = this.#clearPrefill(entry);
		if (readMilliseconds >= announcedPrefillMilliseconds) {
			this.#onLongPrefillEnd(entry.target, readMilliseconds);
		}
	}

	remove(entry: LoadEntry): void {
		this.endPrefill(entry);
		const sum = this.#ownSums.get(entry.target);
		if (!this.#ownEntries.delete(entry) || sum === undefined) {
			return;
		}

		sum.attempts--;
		if (sum.attempts === 0) {
			this.#ownSums.delete(entry.target);
		}
	}

	/** Removes an entry whose attempt was never sent. `onLongPrefillEnd` is not called. */
	cancel(entry: LoadEntry): void {
		this.#clearPrefill(entry);
		this.remove(entry);
	}

	/** Replaces a peer's load by target with the one that it reported. */
	setPeerLoad(peer: string, outstanding: ReadonlyArray<{readonly id: string} & TargetLoad>, now: number): void {
		this.#peerLoads.set(peer, {at: now, loads: new Map(outstanding.map(({id, attempts, readMilliseconds}) => [id, {attempts, readMilliseconds}]))});
	}

	/** Updates a peer's load at some targets, and leaves it at the others as it was reported last. */
	updatePeerLoad(peer: string, outstanding: ReadonlyArray<{readonly id: string} & TargetLoad>, now: number): void {
		const loads = this.#peerLoads.get(peer)?.loads ?? new Map<string, TargetLoad>();
		for (const {id, attempts, readMilliseconds} of outstanding) {
			loads.set(id, {attempts, readMilliseconds});
		}

		this.#peerLoads.set(peer, {at: now, loads});
	}

	/** Adjusts a peer's load for a prefill that it was granted or that has ended, until its next report replaces the load. */
	adjustPeerLoad(peer: string, target: string, change: TargetLoad): void {
		const loads = this.#peerLoads.get(peer)?.loads;
		const load = loads?.get(target) ?? {attempts: 0, readMilliseconds: 0};
		loads?.set(target, {attempts: Math.max(0, load.attempts + change.attempts), readMilliseconds: Math.max(0, load.readMilliseconds + change.readMilliseconds)});
	}

	/** Records an engine's whole prefill backlog, as its owner gateway reports it. */
	setOwnerBacklog(target: string, readMilliseconds: number, now: number, lifetimeMilliseconds = ownerAnswerLifetimeMilliseconds): void {
		this.#ownerBacklogs.set(target, {validUntil: now + lifetimeMilliseconds, readMilliseconds});
	}

	removePeer(peer: string): void {
		this.#peerLoads.delete(peer);
	}

	/** This gateway's own load by target, in the form in which peers receive it. */
	ownLoads(): ReadonlyArray<{readonly id: string; readonly attempts: number; readonly readMilliseconds: number}> {
		return [...this.#ownSums].map(([id, {attempts, readMilliseconds}]) => ({id, attempts, readMilliseconds: Math.max(0, Math.round(readMilliseconds))}));
	}

	/** Load of all gateways at a target, from this gateway's entries and the reports of the others. */
	totalLoad(target: string, now: number): TargetLoad {
		const ownSum = this.#ownSums.get(target);
		const peerLoads = [...this.#peerLoads.values()]
			.filter(({at}) => now - at < peerLoadLifetimeMilliseconds)
			.map(({loads}) => loads.get(target))
			.filter(load => load !== undefined);
		const ownerBacklog = this.#ownerBacklogs.get(target);
		const ownerBacklogMilliseconds = ownerBacklog !== undefined && now < ownerBacklog.validUntil ? ownerBacklog.readMilliseconds : 0;
		return {
			attempts: peerLoads.reduce((sum, load) => sum + load.attempts, ownSum?.attempts ?? 0),
			readMilliseconds: Math.max(ownerBacklogMilliseconds, peerLoads.reduce((sum, load) => sum + load.readMilliseconds, ownSum?.readMilliseconds ?? 0)),
		};
	}

	/** Subtracts an entry's prefill time from the sum and returns it; returns 0 when it was subtracted before. */
	#clearPrefill(entry: LoadEntry): number {
		const sum = this.#ownSums.get(entry.target);
		if (sum === undefined || !this.#ownEntries.has(entry)) {
			return 0;
		}

		const {readMilliseconds} = entry;
		sum.readMilliseconds -= readMilliseconds;
		entry.readMilliseconds = 0;
		return readMilliseconds;
	}
}
