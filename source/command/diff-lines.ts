/**
Differences between two configuration documents.
*/

type Entries = ReadonlyMap<string, string>;

/** Lists have their entries named where they have names, so that a moved entry is no difference. */
const label = (value: unknown, key: string): string =>
	typeof value === 'object' && value !== null && 'name' in value ? String(value.name) : key;

const flatten = (value: unknown, path: string): ReadonlyArray<readonly [string, string]> =>
	typeof value === 'object' && value !== null && !(value instanceof Date)
		? Object.entries(value).flatMap(([key, inner]) => flatten(inner, path === '' ? label(inner, key) : `${path}.${label(inner, key)}`))
		: [[path, JSON.stringify(value)]];

/**
Returns one line for each value that was removed, added or changed, by its place.

@example
```
diffLines({retryShare: 0.2}, {retryShare: 0.1}); // ['retryShare: 0.2 -> 0.1']
```
*/
export const diffLines = (before: unknown, after: unknown): readonly string[] => {
	const old: Entries = new Map(flatten(before, ''));
	const young: Entries = new Map(flatten(after, ''));
	const removed = [...old].filter(([path]) => !young.has(path)).map(([path, value]) => `${path}: ${value} -> (none)`);
	const changed = [...young].flatMap(([path, value]) => {
		const previous = old.get(path);
		return previous === value ? [] : [`${path}: ${previous ?? '(none)'} -> ${value}`];
	});
	return [...removed, ...changed];
};
