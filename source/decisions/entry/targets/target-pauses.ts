/**
Keeps the targets that have asked this gateway for a pause.

At the worst load every target of a service is full, and each refusal says for how long
the target wants nothing from the gateway. A gateway that went on sending would only be
refused again, and would take the place of another gateway's requests. So a paused target
gets nothing: no request, no retry, no prefill and no poll. Each gateway keeps the pauses
that it was asked for itself, because a pause is meant for the gateway that gets it.
*/

/** Longest pause that is kept. A longer one is taken for an error, and would withdraw the target for good. */
const maxPauseMilliseconds = 300_000;

/**
Pauses by target incarnation. Times are on the gateway's monotonic clock.

Invariant: a pause never becomes shorter, and a new incarnation of a target has none.

@example
```
pauses.record('engine-3 17', 1500, now);
pauses.isPaused('engine-3 17', now + 1499); // true
```
*/
export class TargetPauses {
	readonly #until = new Map<string, number>();

	/** Records a pause; true when the target was not paused before. */
	record(incarnation: string, milliseconds: number, now: number): boolean {
		if (!(milliseconds > 0)) {
			return false;
		}

		const isNew = !this.isPaused(incarnation, now);
		const until = now + Math.min(maxPauseMilliseconds, milliseconds);
		this.#until.set(incarnation, Math.max(until, this.#until.get(incarnation) ?? until));
		return isNew;
	}

	isPaused(incarnation: string, now: number): boolean {
		return now < (this.#until.get(incarnation) ?? now);
	}

	/** Time until the first of these targets may get work again; 0 when one of them may now, or when there is none. */
	shortest(incarnations: readonly string[], now: number): number {
		return incarnations.length === 0 ? 0 : Math.min(...incarnations.map(incarnation => Math.max(0, (this.#until.get(incarnation) ?? now) - now)));
	}

	/** Removes the pauses of targets that are gone. */
	keepOnly(incarnations: ReadonlySet<string>): void {
		for (const incarnation of this.#until.keys()) {
			if (!incarnations.has(incarnation)) {
				this.#until.delete(incarnation);
			}
		}
	}
}
