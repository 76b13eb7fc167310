/**
Keeps what teams have used at this gateway until it is reported to the peers.

Reports are increments, so that a peer needs no state for each gateway, and a report that
is lost makes the peers' figures a little too low until they have decayed.
*/

/** Upper bound of the teams with unreported usage. Beyond it, further teams count only at this gateway. */
const maxTeams = 1024;
/** Smaller usage waits until it is worth its bytes, and is dropped first when there are too many teams. */
const minMilliseconds = 1;

/**
Invariant: usage is reported once at most.

@example
```
usage.add('harbour', 94);
usage.take(16); // {teams: ['harbour'], milliseconds: [94]}
```
*/
export class UnreportedUsage {
	readonly #byTeam = new Map<string, number>();

	add(team: string, milliseconds: number): void {
		const before = this.#byTeam.get(team);
		if (before === undefined && this.#byTeam.size >= maxTeams) {
			this.#dropSmall();
		}

		if (before !== undefined || this.#byTeam.size < maxTeams) {
			this.#byTeam.set(team, (before ?? 0) + milliseconds);
		}
	}

	/** Removes and returns the largest amounts, refunds too, rounded to milliseconds. */
	take(limit: number): {readonly teams: readonly string[]; readonly milliseconds: readonly number[]} {
		const rows = [...this.#byTeam]
			.filter(([, milliseconds]) => Math.abs(milliseconds) >= minMilliseconds)
			.toSorted(([, first], [, second]) => Math.abs(second) - Math.abs(first))
			.slice(0, limit);
		for (const [team] of rows) {
			this.#byTeam.delete(team);
		}

		return {teams: rows.map(([team]) => team), milliseconds: rows.map(([, milliseconds]) => Math.round(milliseconds))};
	}

	#dropSmall(): void {
		for (const [team, milliseconds] of this.#byTeam) {
			if (Math.abs(milliseconds) < minMilliseconds) {
				this.#byTeam.delete(team);
			}
		}
	}
}
