/**
Work that is under way at targets: this gateway's own, and what peers told of.
*/
import {announcedPrefillMilliseconds} from '../decisions/entry/announced-prefill-milliseconds.js';
import type {LoadEntry} from './load-entry.js';

/** A peer's word older than this is no longer counted. */
const peerWordMilliseconds = 1500;
/** How long the word of an engine's keeper on its queue goes before the own sum. */
const keeperWordMilliseconds = 40;

type Share = {readonly attempts: number; readonly readMilliseconds: number};

/**
Own entries are added and removed one by one; a peer's word replaces its former one.

Invariant: the sums are never negative, as each entry is removed once.

@example
```
const entry = book.add('engine-3', 94);
book.promptRead(entry);
book.remove(entry);
```
*/
export class LoadBook {
	readonly #own = new Set<LoadEntry>();
	readonly #sums = new Map<string, {attempts: number; readMilliseconds: number}>();
	readonly #peers = new Map<string, {readonly at: number; readonly shares: Map<string, Share>}>();
	readonly #keepers = new Map<string, {readonly at: number; readonly readMilliseconds: number}>();
	readonly #onLongRead: (target: string, readMilliseconds: number) => void;

	/** `onLongRead` is called when a target has read a long prompt, or will not. */
	constructor(onLongRead: (target: string, readMilliseconds: number) => void = () => undefined) {
		this.#onLongRead = onLongRead;
	}

	add(target: string, readMilliseconds: number): LoadEntry {
		const entry: LoadEntry = {target, readMilliseconds};
		this.#own.add(entry);
		const sum = this.#sums.get(target) ?? {attempts: 0, readMilliseconds: 0};
		this.#sums.set(target, {attempts: sum.attempts + 1, readMilliseconds: sum.readMilliseconds + readMilliseconds});
		return entry;
	}

	/** Records that the target has read the prompt of an entry. */
	promptRead(entry: LoadEntry): void {
		const readMilliseconds = this.#clearRead(entry);
		if (readMilliseconds >= announcedPrefillMilliseconds) {
			this.#onLongRead(entry.target, readMilliseconds);
		}
	}

	remove(entry: LoadEntry): void {
		this.promptRead(entry);
		const sum = this.#sums.get(entry.target);
		if (!this.#own.delete(entry) || sum === undefined) {
			return;
		}

		sum.attempts--;
		if (sum.attempts === 0) {
			this.#sums.delete(entry.target);
		}
	}

	/** Removes an entry whose attempt was never sent, without a word to anyone. */
	cancel(entry: LoadEntry): void {
		this.#clearRead(entry);
		this.remove(entry);
	}

	hearPeer(peer: string, outstanding: ReadonlyArray<{readonly id: string} & Share>, now: number): void {
		this.#peers.set(peer, {at: now, shares: new Map(outstanding.map(({id, attempts, readMilliseconds}) => [id, {attempts, readMilliseconds}]))});
	}

	/** Counts what a peer was granted, or has had read, until its next word replaces this. */
	adjustPeer(peer: string, target: string, change: Share): void {
		const shares = this.#peers.get(peer)?.shares;
		const share = shares?.get(target) ?? {attempts: 0, readMilliseconds: 0};
		shares?.set(target, {attempts: Math.max(0, share.attempts + change.attempts), readMilliseconds: Math.max(0, share.readMilliseconds + change.readMilliseconds)});
	}

	/** Takes the word of an engine's keeper on all that the engine has yet to read. */
	hearKeeper(target: string, readMilliseconds: number, now: number): void {
		this.#keepers.set(target, {at: now, readMilliseconds});
	}

	forgetPeer(peer: string): void {
		this.#peers.delete(peer);
	}

	/** Own entries by target, as told to peers. */
	own(): ReadonlyArray<{readonly id: string; readonly attempts: number; readonly readMilliseconds: number}> {
		return [...this.#sums].map(([id, {attempts, readMilliseconds}]) => ({id, attempts, readMilliseconds: Math.max(0, Math.round(readMilliseconds))}));
	}

	/** Work of all gateways at a target, as far as they told it. */
	total(target: string, now: number): Share {
		const own = this.#sums.get(target);
		const heard = [...this.#peers.values()]
			.filter(({at}) => now - at < peerWordMilliseconds)
			.map(({shares}) => shares.get(target))
			.filter(share => share !== undefined);
		const keeper = this.#keepers.get(target);
		const told = keeper !== undefined && now - keeper.at < keeperWordMilliseconds ? keeper.readMilliseconds : 0;
		return {
			attempts: heard.reduce((sum, share) => sum + share.attempts, own?.attempts ?? 0),
			readMilliseconds: Math.max(told, heard.reduce((sum, share) => sum + share.readMilliseconds, own?.readMilliseconds ?? 0)),
		};
	}

	/** Takes an entry's reading out of the sum; gives what it was, 0 when it is out already. */
	#clearRead(entry: LoadEntry): number {
		const sum = this.#sums.get(entry.target);
		if (sum === undefined || !this.#own.has(entry)) {
			return 0;
		}

		const {readMilliseconds} = entry;
		sum.readMilliseconds -= readMilliseconds;
		entry.readMilliseconds = 0;
		return readMilliseconds;
	}
}
