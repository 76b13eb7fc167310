/**
Sums up metrics that several processes answered with.
*/
import type {DayReport} from './day-report.js';

const linePattern = /^(?<name>\w+(?:{[^}]*})?) (?<value>-?\d+(?:\.\d+)?)$/;

/**
Returns one table: counters summed over the processes, and the highest of each
quantile, as quantiles cannot be summed.

@example
```
summarizeMetrics(['cowsliprudder_peers 4\n', 'cowsliprudder_peers 3\n']);
```
*/
export const summarizeMetrics = (texts: readonly string[]): DayReport['tables'][number] => {
	const values = new Map<string, number[]>();
	for (const line of texts.flatMap(text => text.split('\n'))) {
		const {name, value} = linePattern.exec(line.trim())?.groups ?? {};
		if (name !== undefined) {
			values.set(name, [...values.get(name) ?? [], Number(value)]);
		}
	}

	return {
		title: 'Metrics: sums over the processes, of quantiles the highest',
		columns: ['name', 'value', 'processes'],
		rows: [...values]
			.toSorted(([first], [second]) => first < second ? -1 : 1)
			.map(([name, all]) => [name, String(name.includes('quantile=') ? Math.max(...all) : all.reduce((sum, value) => sum + value, 0)), String(all.length)]),
	};
};
