/**
Formats the content of a report, as it is stored and sent.
*/

/**
Returns the counts as JSON, sorted by team, so that equal counts have equal texts.

@example
```
formatUsage(new Map([['joiners-cork', 12]])); // '{"joiners-cork":12}'
```
*/
export const formatUsage = (totals: ReadonlyMap<string, number>): string => {
	const rows = [...totals].filter(([, count]) => count > 0).toSorted(([first], [second]) => first < second ? -1 : 1);
	return `{${rows.map(([team, count]) => `${JSON.stringify(team)}:${count}`).join(',')}}`;
};
