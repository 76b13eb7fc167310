/**
Reads and watches the configuration key in the store for one process.

Only a bounded number of gateways watch the key. Every process reads it at its
start and again at intervals; those that do not watch read at longer intervals,
in case no peer has sent them a new configuration.
*/
import * as option from 'fp-ts/lib/Option.js';
import type {KeyValueService} from '../ports/key-value-service.js';
import {configurationKey} from './configuration-key.js';
import type {ConfigurationReplica} from './configuration-replica.js';

const retryDelayMilliseconds = 500;
const watcherReadIntervalMilliseconds = 10_000;
const nonWatcherReadIntervalMilliseconds = 60_000;

/**
Passes each configuration that it reads or watches to the process's replica.

@example
```
const watcher = new ConfigurationWatcher(store, replica);
watcher.start();
watcher.setWatching(watchesConfiguration(name, gateways));
```
*/
export class ConfigurationWatcher {
	readonly #store: KeyValueService;
	readonly #replica: ConfigurationReplica;
	#watch: {readonly stop: () => void} | undefined;
	#watching = false;
	#stopped = false;
	#timer: NodeJS.Timeout | undefined;

	constructor(store: KeyValueService, replica: ConfigurationReplica) {
		this.#store = store;
		this.#replica = replica;
	}

	/** Reads the key immediately, then at intervals until stopped. */
	start(): void {
		void this.#read();
	}

	/** Starts or stops the watch, according to whether this process is one of the watchers. */
	setWatching(watching: boolean): void {
		if (this.#watching === watching || this.#stopped) {
			return;
		}

		this.#watching = watching;
		if (watching) {
			this.#openWatch();
			return;
		}

		this.#watch?.stop();
		this.#watch = undefined;
	}

	stop(): void {
		this.#stopped = true;
		clearTimeout(this.#timer);
		this.#watch?.stop();
	}

	async #read(): Promise<void> {
		const stored = await this.#store.read(configurationKey);
		if (this.#stopped) {
			return;
		}

		if (stored.isOk() && option.isSome(stored.value)) {
			this.#replica.receive(stored.value.value.value, 'store');
		}

		clearTimeout(this.#timer);
		this.#timer = setTimeout(() => {
			void this.#read();
		}, this.#readInterval());
	}

	/** A process without a configuration reads often. One that watches or receives configurations from peers reads seldom. */
	#readInterval(): number {
		if (this.#replica.generation === 0) {
			return retryDelayMilliseconds;
		}

		const interval = this.#watching ? watcherReadIntervalMilliseconds : nonWatcherReadIntervalMilliseconds;
		return interval * (0.75 + (Math.random() / 2));
	}

	#openWatch(): void {
		this.#watch = this.#store.watch(configurationKey, ({value}) => {
			this.#replica.receive(value, 'store');
		}, () => {
			setTimeout(() => {
				this.#reopenWatch();
			}, retryDelayMilliseconds);
		});
	}

	/** Restarts a broken watch. The watch may have missed a change, so the key is read as well. */
	#reopenWatch(): void {
		if (this.#watching && !this.#stopped) {
			this.#openWatch();
			void this.#read();
		}
	}
}
