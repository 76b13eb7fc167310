/**
Tells callers that come back from those that ask for the first time.

A caller that was refused comes back with what is left of its patience, so a
request that brings clearly less than others on its route is a second try. It
cannot be on time any more, as time counts from its first try; and it is served
before new late work, as it has been turned away once.
*/

/** Patience below this part of the longest seen is that of a second try. */
const returnedPart = 0.93;

/**
The longest patience seen on each route, in milliseconds.

@example
```
patience.elapsedBefore('dossiers', 4100); // 1900 when others bring 6000
```
*/
export class PatienceBook {
	readonly #longest = new Map<string, number>();

	/** Milliseconds that passed for this caller before this try; 0 on a first one. */
	elapsedBefore(route: string, patienceMilliseconds: number | undefined): number {
		if (patienceMilliseconds === undefined) {
			return 0;
		}

		const longest = Math.max(this.#longest.get(route) ?? 0, patienceMilliseconds);
		this.#longest.set(route, longest);
		return patienceMilliseconds < longest * returnedPart ? longest - patienceMilliseconds : 0;
	}
}
