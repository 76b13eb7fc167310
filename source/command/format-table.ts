/**
Formats a table as lines of text.
*/
import type {DayReport} from './day-report.js';

/**
Returns the title, the columns and the rows, each column as wide as its widest cell.

@example
```
formatTable({title: 'Prompts', columns: ['engine', 'prompts'], rows: [['i-1', '12']]});
```
*/
export const formatTable = ({title, columns, rows}: DayReport['tables'][number]): readonly string[] => {
	const all = [columns, ...rows];
	const widths = columns.map((_, index) => Math.max(...all.map(row => (row[index] ?? '').length)));
	return [
		title,
		...all.map(row => widths.map((width, index) => (row[index] ?? '').padEnd(width)).join('  ').trimEnd()),
		...rows.length === 0 ? ['(none)'] : [],
		'',
	];
};
