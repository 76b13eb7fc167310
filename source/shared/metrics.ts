/**
Counters and gauges, sent to a StatsD server if the settings name one.

Values are also kept in memory, so that `cowsliprudder status` can show them
without a metrics server.
*/
import {StatsD} from 'hot-shots';

type MetricsAddress = {readonly host: string; readonly port: number};

/**
Keeps the counters and gauges of one process by name.

@example
```
const metrics = new Metrics({host: '127.0.0.1', port: 8125}, 'gateway-1');
metrics.count('refused.queue-full');
```
*/
export class Metrics {
	readonly counts = new Map<string, number>();
	readonly #client: StatsD | undefined;

	/** Without an address, values are only kept in memory. */
	constructor(address: MetricsAddress | undefined, process: string) {
		this.#client = address === undefined
			? undefined
			: new StatsD({
				...address, prefix: 'cowsliprudder.', globalTags: {process}, errorHandler() {/* Failing to send a metric must not fail the caller. */},
			});
	}

	/** Adds `amount` to the counter `name`. */
	count(name: string, amount = 1): void {
		this.counts.set(name, (this.counts.get(name) ?? 0) + amount);
		this.#client?.increment(name, amount);
	}

	/** Records the current value of `name`. */
	gauge(name: string, value: number): void {
		this.counts.set(name, value);
		this.#client?.gauge(name, value);
	}

	/** Closes the socket, which would otherwise keep the process alive. */
	close(): void {
		this.#client?.close();
	}
}
