/**
Counts the crashes that speak against a part of prompts.

A prompt crashes one engine at a time. When many engines crash at one moment, and prompts
with the part were lost in a few of them only, the crashes have another cause.
*/

/** Share of the engines that crashed at one moment that prompts with the part must have been lost in. */
const minShare = 0.5;

const countEach = (numbers: readonly number[]): ReadonlyMap<number, number> => {
	const counts = new Map<number, number>();
	for (const number of numbers) {
		counts.set(number, (counts.get(number) ?? 0) + 1);
	}

	return counts;
};

/**
Returns the number of crashes that count; `occurrences` are those of all crashes, as
`crashOccurrences` returns them. At most `maxPerOccurrence` count of those at one moment.

@example
```
countCrashes(['a 1', 'b 1', 'c 1'], new Map([['a 1', 0], ['b 1', 0], ['c 1', 1]]), 1); // 2
```
*/
export const countCrashes = (crashes: readonly string[], occurrences: ReadonlyMap<string, number>, maxPerOccurrence: number): number => {
	const sizes = countEach([...occurrences.values()]);
	const lost = countEach(crashes.map(incarnation => occurrences.get(incarnation)!));
	return [...lost]
		.filter(([occurrence, count]) => count >= minShare * sizes.get(occurrence)!)
		.reduce((sum, [, count]) => sum + Math.min(count, maxPerOccurrence), 0);
};
