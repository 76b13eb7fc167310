/**
Numbers the moments at which engines crashed.

Engines that crash at the same moment may have one cause outside them, such as the loss
of power of a rack, so these crashes are one observation rather than several.
*/

/** Crashes within this time after the first of them are one occurrence. Reports of other gateways are off by what they took to arrive. */
const coincidenceMilliseconds = 500;

/**
Returns the number of the occurrence that each crash belongs to, by incarnation.

@example
```
crashOccurrences([{incarnation: 'a 1', at: 0}, {incarnation: 'b 1', at: 90}, {incarnation: 'c 1', at: 900}]); // a 1: 0, b 1: 0, c 1: 1
```
*/
export const crashOccurrences = (crashes: ReadonlyArray<{readonly incarnation: string; readonly at: number}>): ReadonlyMap<string, number> => {
	let number = -1;
	let startedAt = Number.NEGATIVE_INFINITY;
	return new Map(crashes
		.toSorted((first, second) => first.at - second.at)
		.map(({incarnation, at}) => {
			if (at - startedAt > coincidenceMilliseconds) {
				number++;
				startedAt = at;
			}

			return [incarnation, number];
		}));
};
