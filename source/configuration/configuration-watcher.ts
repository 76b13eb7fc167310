/**
Brings configurations from the store to one process.

A bounded number of gateways watch; every process reads once at its start, and
the others read again at long intervals, in case no peer has told them.
*/
import * as option from 'fp-ts/lib/Option.js';
import type {KeyValueService} from '../ports/key-value-service.js';
import {configurationKey} from './configuration-key.js';
import type {ConfigurationKeeper} from './configuration-keeper.js';

const retryMilliseconds = 500;
const watcherReadMilliseconds = 10_000;
const otherReadMilliseconds = 60_000;

/**
Follows the configuration key on behalf of one process.

@example
```
const watcher = new ConfigurationWatcher(store, keeper);
watcher.start();
watcher.setWatching(watchesConfiguration(name, gateways));
```
*/
export class ConfigurationWatcher {
	readonly #store: KeyValueService;
	readonly #keeper: ConfigurationKeeper;
	#watch: {readonly stop: () => void} | undefined;
	#watching = false;
	#stopped = false;
	#timer: NodeJS.Timeout | undefined;

	constructor(store: KeyValueService, keeper: ConfigurationKeeper) {
		this.#store = store;
		this.#keeper = keeper;
	}

	/** Reads now and then at intervals until stopped. */
	start(): void {
		void this.#read();
	}

	/** Starts or stops watching. */
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
			this.#keeper.hear(stored.value.value.value, 'store');
		}

		clearTimeout(this.#timer);
		this.#timer = setTimeout(() => {
			void this.#read();
		}, this.#readInterval());
	}

	/** A process without any configuration asks often; one that watches or is told by peers seldom. */
	#readInterval(): number {
		if (this.#keeper.generation === 0) {
			return retryMilliseconds;
		}

		const interval = this.#watching ? watcherReadMilliseconds : otherReadMilliseconds;
		return interval * (0.75 + (Math.random() / 2));
	}

	#openWatch(): void {
		this.#watch = this.#store.watch(configurationKey, ({value}) => {
			this.#keeper.hear(value, 'store');
		}, () => {
			setTimeout(() => {
				this.#reopenWatch();
			}, retryMilliseconds);
		});
	}

	/** A broken watch may have missed a change, so the key is read too. */
	#reopenWatch(): void {
		if (this.#watching && !this.#stopped) {
			this.#openWatch();
			void this.#read();
		}
	}
}
