/**
Polls the store for the configuration and the list of targets.

The store is polled, not watched: a watch may lag, be disconnected or miss changes that
a compaction removed, and each of these faults would need the same read to recover. The
pause grows with the number of gateways, so that all of them together stay within a
share of the store's read rate. Changes during the pause reach a gateway through its peers.
*/
import * as option from 'fp-ts/lib/Option.js';
import type {FleetConfiguration} from '../fleet/fleet-configuration.js';
import type {TargetList} from '../fleet/target-list.js';
import type {FleetStore} from '../ports/fleet-store.js';
import type {Timers} from '../shared/timers.js';

type StoreReaderOptions = {
	/** The configuration is undefined before the first one was written. `era` is the store's, `requestedAt` is when the call began. */
	readonly onConfiguration: (configuration: FleetConfiguration | undefined, era: number, requestedAt: number) => void;
	readonly onTargets: (list: TargetList, unreadable: number, requestedAt: number) => void;
	/** Called on each failed call. */
	readonly onFailure: (call: string, detail: string) => void;
	/** Gateways that are alive, this one included. */
	readonly gateways: () => number;
	readonly random: () => number;
	readonly now: () => number;
	readonly timers: Timers;
	/** True while another gateway feeds this one, so that it need not read the store itself. */
	readonly isFed: () => boolean;
};

const minPauseMilliseconds = 700;
/** Share of the store's read rate that all gateways together may use. */
const readShare = 0.3;
/** Calls of one round of polling: the configuration, and one or two pages of targets. */
const callsPerRound = 3;
const retryPauseMilliseconds = 200;
/** Interval at which a gateway that is fed checks whether it still is. */
const feedCheckMilliseconds = 100;

/**
Polls the configuration and the targets in two independent loops until stopped.

@example
```
const reader = new StoreReader(store, 2000, options);
reader.start();
```
*/
export class StoreReader {
	#isStopped = false;
	readonly #store: FleetStore;
	readonly #readsPerSecond: number;
	readonly #options: StoreReaderOptions;

	constructor(store: FleetStore, readsPerSecond: number, options: StoreReaderOptions) {
		this.#store = store;
		this.#readsPerSecond = readsPerSecond;
		this.#options = options;
	}

	start(): void {
		void this.#loop(async () => this.#readConfiguration());
		void this.#loop(async () => this.#readTargets());
	}

	stop(): void {
		this.#isStopped = true;
	}

	async #loop(read: () => Promise<boolean>): Promise<void> {
		if (this.#options.isFed()) {
			this.#schedule(read, feedCheckMilliseconds);
			return;
		}

		const isSuccessful = await read();

		const pause = isSuccessful ? Math.max(minPauseMilliseconds, this.#options.gateways() * callsPerRound * 1000 / (this.#readsPerSecond * readShare)) : retryPauseMilliseconds;
		this.#schedule(read, pause * (0.9 + (this.#options.random() * 0.2)));
	}

	#schedule(read: () => Promise<boolean>, milliseconds: number): void {
		if (this.#isStopped) {
			return;
		}

		this.#options.timers.after(milliseconds, () => {
			void this.#loop(read);
		});
	}

	async #readConfiguration(): Promise<boolean> {
		const requestedAt = this.#options.now();
		const result = await this.#store.readConfiguration();
		if (this.#isStopped) {
			return false;
		}

		return result.match(({configuration, era}) => {
			this.#options.onConfiguration(option.toUndefined(configuration), era, requestedAt);
			return true;
		}, error => {
			this.#options.onFailure('read configuration', error.detail);
			return false;
		});
	}

	async #readTargets(): Promise<boolean> {
		const requestedAt = this.#options.now();
		const result = await this.#store.listTargets();
		if (this.#isStopped) {
			return false;
		}

		return result.match(({list, unreadable}) => {
			this.#options.onTargets(list, unreadable, requestedAt);
			return true;
		}, error => {
			this.#options.onFailure('list targets', error.detail);
			return false;
		});
	}
}
