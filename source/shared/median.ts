/**
The middle of a set of values.
*/

/**
Returns the median, the mean of the two middle values for an even number; there must be one value at least.

@example
```
median([4, 1, 3, 2]); // 2.5
```
*/
export const median = (values: readonly number[]): number => {
	const sorted = values.toSorted((first, second) => first - second);
	const middle = (sorted.length - 1) / 2;
	return (sorted[Math.floor(middle)]! + sorted[Math.ceil(middle)]!) / 2;
};
