/**
Compares two configuration documents.
*/

type Entries = ReadonlyMap<string, string>;

/** Identifies list entries by name if they have one, so that a moved entry does not count as a change. */
const label = (value: unknown, key: string): string =>
	typeof value === 'object' && value !== null && 'name' in value ? String(value.name) : key;

const flatten = (value: unknown, path: string): ReadonlyArray<readonly [string, string]> =>
	typeof value === 'object' && value !== null && !(value instanceof Date)
		? Object.entries(value).flatMap(([key, inner]) => flatten(inner, path === '' ? label(inner, key) : `${path}.${label(inner, key)}`))
		: [[path, JSON.stringify(value)]];

/**
Returns one line for each value that was removed, added or changed, with its path.

@example
```
diffLines({retryShare: 0.2}, {retryShare: 0.1}); // ['retryShare: 0.2 -> 0.1']
```
*/
export const diffLines = (before: unknown, after: unknown): readonly string[] => {
	const previousValues: Entries = new Map(flatten(before, ''));
	const updatedValues: Entries = new Map(flatten(after, ''));
	const removed = [...previousValues].filter(([path]) => !updatedValues.has(path)).map(([path, value]) => `${path}: ${value} -> (none)`);
	const changed = [...updatedValues].flatMap(([path, value]) => {
		const previous = previousValues.get(path);
		return previous === value ? [] : [`${path}: ${previous ?? '(none)'} -> ${value}`];
	});
	return [...removed, ...changed];
};
