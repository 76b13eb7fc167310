/**
Formats a table as lines of text.
*/
import type {LogReport} from './log-report.js';

/**
Returns the title, the column headings and the rows as lines. Each column is padded to
its widest cell.

@example
```
formatTable({title: 'Prompts', columns: ['engine', 'prompts'], rows: [['i-1', '12']]});
```
*/
export const formatTable = ({title, columns, rows}: LogReport['tables'][number]): readonly string[] => {
	const allRows = [columns, ...rows];
	const widths = columns.map((_, index) => Math.max(...allRows.map(row => (row[index] ?? '').length)));
	return [
		title,
		...allRows.map(row => widths.map((width, index) => (row[index] ?? '').padEnd(width)).join('  ').trimEnd()),
		...rows.length === 0 ? ['(none)'] : [],
		'',
	];
};
