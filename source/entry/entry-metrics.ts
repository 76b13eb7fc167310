/**
Counters, gauges and latency histograms of an entry gateway, rendered as text.
*/
// The package's index also loads its encodings and WebAssembly, which cost each start processor time and memory.
import histogramModule from 'hdr-histogram-js/dist/Int32Histogram.js';
import {Counters} from '../shared/counters.js';

type Histogram = InstanceType<typeof histogramModule.default>;

const lowestMilliseconds = 1;
const highestMilliseconds = 60_000;
const significantDigits = 2;
const quantiles = [50, 90, 95, 99];

const metricName = (name: string): string => `cowsliprudder_${name.replaceAll(/\W/g, '_')}`;

/**
Counts through the shared `Counters` class and adds histograms.

@example
```
metrics.count('refused.queue-full');
metrics.record('first-event', 212);
metrics.render(); // 'cowsliprudder_refused_queue_full 1\n...'
```
*/
export class EntryMetrics {
	readonly #counters = new Counters();
	readonly #histograms = new Map<string, Histogram>();

	count(name: string, amount = 1): void {
		this.#counters.count(name, amount);
	}

	gauge(name: string, value: number): void {
		this.#counters.gauge(name, value);
	}

	/** Records a duration in milliseconds. */
	record(name: string, milliseconds: number): void {
		const histogram = this.#histograms.get(name) ?? new histogramModule.default(lowestMilliseconds, highestMilliseconds, significantDigits); // eslint-disable-line new-cap
		this.#histograms.set(name, histogram);
		histogram.recordValue(Math.min(highestMilliseconds, Math.max(lowestMilliseconds, Math.round(milliseconds))));
	}

	/** Renders all metrics as the text that `/metrics` returns. */
	render(): string {
		const counters = [...this.#counters.counts].map(([name, value]) => `${metricName(name)} ${value}`);
		const histograms = [...this.#histograms].flatMap(([name, histogram]) => [
			...quantiles.map(quantile => `${metricName(name)}_milliseconds{quantile="${quantile / 100}"} ${histogram.getValueAtPercentile(quantile)}`),
			`${metricName(name)}_milliseconds_count ${histogram.totalCount}`,
		]);
		return `${[...counters, ...histograms].join('\n')}\n`;
	}
}
