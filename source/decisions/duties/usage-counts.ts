/**
Counts of the requests that began, by window and team.
*/

/** Windows that are kept: those whose report may still be decided, and some for late repeats. */
const keptWindows = 8;

/**
Counts of one process. They only grow, so the larger of two values of one count is the newer.

@example
```
const counts = new UsageCounts();
counts.add(352, 'joiners-cork', 1);
```
*/
export class UsageCounts {
	readonly #windows = new Map<number, Map<string, number>>();

	get windows(): readonly number[] {
		return [...this.#windows.keys()];
	}

	add(window: number, team: string, amount: number): void {
		const counts = this.#window(window);
		counts.set(team, (counts.get(team) ?? 0) + amount);
	}

	/** Takes a cumulative value; false when it is not larger than the one that is there. */
	raise(window: number, team: string, count: number): boolean {
		const counts = this.#window(window);
		if (count <= (counts.get(team) ?? 0)) {
			return false;
		}

		counts.set(team, count);
		return true;
	}

	get(window: number): ReadonlyMap<string, number> {
		return this.#windows.get(window) ?? new Map<string, number>();
	}

	/** Drops windows that are too old to be reported. */
	forget(currentWindow: number): void {
		for (const window of this.#windows.keys()) {
			if (window < currentWindow - keptWindows) {
				this.#windows.delete(window);
			}
		}
	}

	#window(window: number): Map<string, number> {
		const counts = this.#windows.get(window) ?? new Map<string, number>();
		this.#windows.set(window, counts);
		return counts;
	}
}
