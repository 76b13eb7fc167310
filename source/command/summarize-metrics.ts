/**
Aggregates the metrics of several processes.
*/
import type {LogReport} from './log-report.js';

const linePattern = /^(?<name>\w+(?:{[^}]*})?) (?<value>-?\d+(?:\.\d+)?)$/;

/**
Returns a table with the sum of each counter over the processes and the highest value of
each quantile, because quantiles cannot be summed.

@example
```
summarizeMetrics(['cowsliprudder_peers 4\n', 'cowsliprudder_peers 3\n']);
```
*/
export const summarizeMetrics = (texts: readonly string[]): LogReport['tables'][number] => {
	const valuesByName = new Map<string, number[]>();
	for (const line of texts.flatMap(text => text.split('\n'))) {
		const {name, value} = linePattern.exec(line.trim())?.groups ?? {};
		if (name !== undefined) {
			valuesByName.set(name, [...valuesByName.get(name) ?? [], Number(value)]);
		}
	}

	return {
		title: 'Metrics: sums over the processes, of quantiles the highest',
		columns: ['name', 'value', 'processes'],
		rows: [...valuesByName]
			.toSorted(([first], [second]) => first < second ? -1 : 1)
			.map(([name, values]) => [name, String(name.includes('quantile=') ? Math.max(...values) : values.reduce((sum, value) => sum + value, 0)), String(values.length)]),
	};
};
