/**
Remembers the results of a function for the length of one pass.
*/

/**
Returns a function that computes the result of each key once.

@example
```
const rateOf = memoize((level: number) => work.rateBefore(level));
```
*/
export const memoize = <Key, Value>(compute: (key: Key) => Value): ((key: Key) => Value) => {
	const known = new Map<Key, Value>();
	return key => {
		const remembered = known.get(key);
		if (remembered !== undefined) {
			return remembered;
		}

		const value = compute(key);
		known.set(key, value);
		return value;
	};
};
