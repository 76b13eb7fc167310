/**
Groups items by a key; Node.js 20 has no `Map.groupBy`.
*/

/**
Returns the items of each key in their order.

@example
```
groupBy(requests, ({team}) => team).get(0);
```
*/
export const groupBy = <Item, Key>(items: readonly Item[], keyOf: (item: Item) => Key): ReadonlyMap<Key, readonly Item[]> => {
	const groups = new Map<Key, Item[]>();
	for (const item of items) {
		const key = keyOf(item);
		const group = groups.get(key) ?? [];
		group.push(item);
		groups.set(key, group);
	}

	return groups;
};
