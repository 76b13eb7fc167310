/**
Counters and gauges, sent to a StatsD server if the settings name one.

Values are also kept in memory, so that `cowsliprudder status` can show them
without a metrics server.
*/
import {StatsD} from 'hot-shots';
import {Counters} from './counters.js';

type MetricsAddress = {readonly host: string; readonly port: number};

/**
Keeps the counters and gauges of one process by name.

@example
```
const metrics = new Metrics({host: '127.0.0.1', port: 8125}, 'gateway-1');
metrics.count('refused.queue-full');
```
*/
export class Metrics extends Counters {
	readonly #client: StatsD | undefined;

	/** Without an address, values are only kept in memory. */
	constructor(address: MetricsAddress | undefined, process: string) {
		super();
		this.#client = address === undefined
			? undefined
			: new StatsD({
				...address, prefix: 'cowsliprudder.', globalTags: {process}, errorHandler() {/* Failing to send a metric must not fail the caller. */},
			});
	}

	override count(name: string, amount = 1): void {
		super.count(name, amount);
		this.#client?.increment(name, amount);
	}

	override gauge(name: string, value: number): void {
		super.gauge(name, value);
		this.#client?.gauge(name, value);
	}

	/** Closes the socket, which would otherwise keep the process alive. */
	close(): void {
		this.#client?.close();
	}
}
