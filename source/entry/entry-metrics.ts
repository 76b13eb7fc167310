/**
Counters, gauges and latency histograms of an entry gateway, rendered as text.
*/
import {build, type Histogram} from 'hdr-histogram-js';
import {Metrics} from '../shared/metrics.js';

const highestMilliseconds = 60_000;
const quantiles = [50, 90, 95, 99];

const metricName = (name: string): string => `cowsliprudder_${name.replaceAll(/\W/g, '_')}`;

/**
Counts through the shared `Metrics` class and adds histograms.

@example
```
metrics.count('refused.queue-full');
metrics.record('first-event', 212);
metrics.render(); // 'cowsliprudder_refused_queue_full 1\n...'
```
*/
export class EntryMetrics {
	readonly #counters: Metrics;
	readonly #histograms = new Map<string, Histogram>();

	constructor(process: string) {
		this.#counters = new Metrics(undefined, process);
	}

	count(name: string, amount = 1): void {
		this.#counters.count(name, amount);
	}

	gauge(name: string, value: number): void {
		this.#counters.gauge(name, value);
	}

	/** Records a duration in milliseconds. */
	record(name: string, milliseconds: number): void {
		const histogram = this.#histograms.get(name) ?? build({lowestDiscernibleValue: 1, highestTrackableValue: highestMilliseconds, numberOfSignificantValueDigits: 2});
		this.#histograms.set(name, histogram);
		histogram.recordValue(Math.min(highestMilliseconds, Math.max(1, Math.round(milliseconds))));
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
