/**
What one gateway has counted, and what of it other gateways have not been sent yet.

It addresses plain calls that are answered long after their window has ended: a window is
complete only when no call that was sent in it is still open.
*/
import type {PeerMessage} from '../../generated/peer-messages.js';
import {UsageCounts} from './usage-counts.js';

type Windows = Extract<PeerMessage, {kind: 'usage'}>['windows'];

const toColumns = (window: number, counts: ReadonlyMap<string, number>, teams: readonly string[]): Windows[number] => ({window, teams: [...teams], counts: teams.map(team => counts.get(team) ?? 0)});

/**
One instance a process. Windows are numbered by true time.

@example
```
usage.record('joiners-cork', 352);
usage.advance({endedWindow: 351, oldestOpenWindow: undefined});
const changes = usage.takeChanges();
```
*/
export class OwnUsage {
	#completeThrough: number;
	#sentCompleteThrough: number;
	readonly #counts = new UsageCounts();
	/** Teams by window whose counts have changed since the last message. */
	readonly #changed = new Map<number, Set<string>>();

	/** `firstWindow` is the one in which the process started. */
	constructor(readonly firstWindow: number) {
		this.#completeThrough = firstWindow - 1;
		this.#sentCompleteThrough = firstWindow - 1;
	}

	get completeThrough(): number {
		return this.#completeThrough;
	}

	record(team: string, window: number): void {
		this.#counts.add(window, team, 1);
		const changed = this.#changed.get(window) ?? new Set<string>();
		this.#changed.set(window, changed.add(team));
	}

	/** Takes the last window that has ended as complete, unless a call of it or of an earlier one is open. */
	advance({endedWindow, oldestOpenWindow}: {readonly endedWindow: number; readonly oldestOpenWindow: number | undefined}): void {
		this.#completeThrough = Math.max(this.#completeThrough, Math.min(endedWindow, (oldestOpenWindow ?? Number.POSITIVE_INFINITY) - 1));
		this.#counts.forget(endedWindow);
	}

	/** Returns the counts that have changed since the last call, and windows that have become complete as a whole; undefined when there are none. */
	takeChanges(): Windows | undefined {
		const completed = this.#counts.windows.filter(window => window > this.#sentCompleteThrough && window <= this.#completeThrough);
		const changed = [...this.#changed].filter(([window]) => !completed.includes(window));
		const isUnchanged = changed.length === 0 && this.#sentCompleteThrough === this.#completeThrough;
		this.#changed.clear();
		this.#sentCompleteThrough = this.#completeThrough;
		return isUnchanged
			? undefined
			: [
				...completed.map(window => this.#whole(window)),
				...changed.map(([window, teams]) => toColumns(window, this.#counts.get(window), [...teams])),
			];
	}

	/** Returns all counts, for a receiver that has none of them. */
	all(): Windows {
		return this.#counts.windows.map(window => this.#whole(window));
	}

	#whole(window: number): Windows[number] {
		const counts = this.#counts.get(window);
		return toColumns(window, counts, [...counts.keys()]);
	}
}
