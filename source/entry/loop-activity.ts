/**
Records what the event loop spends its time on, so that a stall of the loop can be explained.
*/

/** One piece of work that the loop ran without a break. `size` is in bytes or in entries, whichever the work depends on. */
type Activity = {readonly name: string; readonly size: number; readonly milliseconds: number};

/**
Keeps the longest piece of work since it was last taken.

@example
```
activity.measure('peer message digest', frame.byteLength, () => handle(frame));
activity.takeLongest(); // {name: 'peer message digest', size: 1400, milliseconds: 0.3}
```
*/
export class LoopActivity {
	#longest: Activity | undefined;
	readonly #now: () => number;

	constructor(now: () => number) {
		this.#now = now;
	}

	/** Runs `act` and records how long it took. */
	measure<Value>(name: string, size: number, act: () => Value): Value {
		const startedAt = this.#now();
		try {
			return act();
		} finally {
			this.record(name, size, this.#now() - startedAt);
		}
	}

	/** Records work that was measured elsewhere. */
	record(name: string, size: number, milliseconds: number): void {
		if (milliseconds >= (this.#longest?.milliseconds ?? 0)) {
			this.#longest = {name, size, milliseconds};
		}
	}

	/** Returns the longest piece of work since the last call, if there was any. */
	takeLongest(): Activity | undefined {
		const longest = this.#longest;
		this.#longest = undefined;
		return longest;
	}
}
