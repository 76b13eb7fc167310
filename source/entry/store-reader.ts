/**
Reads configuration and targets from the store again and again.

Reads are repeated instead of watched: a watch may come late, be cut or miss
what a compaction removed, and each would need the same read to be sure. The
pause grows with the number of gateways so that all together stay within a part
of the store's rate; what a gateway misses meanwhile reaches it from its peers.
*/
import * as option from 'fp-ts/lib/Option.js';
import type {FleetConfiguration} from '../fleet/fleet-configuration.js';
import type {TargetList} from '../fleet/target-list.js';
import type {FleetStore} from '../ports/fleet-store.js';
import type {Timers} from '../shared/timers.js';

type ReaderHandlers = {
	/** Undefined before the first configuration was written. `askedAt` is when the call began. */
	readonly onConfiguration: (configuration: FleetConfiguration | undefined, askedAt: number) => void;
	readonly onTargets: (list: TargetList, unreadable: number, askedAt: number) => void;
	/** Called on each failed call. */
	readonly onFailure: (call: string, detail: string) => void;
	/** Gateways that read, this one included. */
	readonly gateways: () => number;
	readonly random: () => number;
	readonly now: () => number;
	readonly timers: Timers;
	/** True while another gateway reads for this one. */
	readonly isFed: () => boolean;
};

const leastPauseMilliseconds = 700;
/** Part of the store's reads that all gateways together use. */
const usedPart = 0.3;
/** Calls of one round: the configuration, and a page or two of targets. */
const callsEachRound = 3;
const retryPauseMilliseconds = 200;
/** Pause between two looks whether another gateway still reads for this one. */
const fedPauseMilliseconds = 100;

/**
Runs two loops until stopped.

@example
```
const reader = new StoreReader(store, 2000, handlers);
reader.start();
```
*/
export class StoreReader {
	#isStopped = false;
	readonly #store: FleetStore;
	readonly #readsPerSecond: number;
	readonly #handlers: ReaderHandlers;

	constructor(store: FleetStore, readsPerSecond: number, handlers: ReaderHandlers) {
		this.#store = store;
		this.#readsPerSecond = readsPerSecond;
		this.#handlers = handlers;
	}

	start(): void {
		void this.#loop(async () => this.#readConfiguration());
		void this.#loop(async () => this.#readTargets());
	}

	stop(): void {
		this.#isStopped = true;
	}

	async #loop(read: () => Promise<boolean>): Promise<void> {
		if (this.#handlers.isFed()) {
			this.#later(read, fedPauseMilliseconds);
			return;
		}

		const isRead = await read();

		const pause = isRead ? Math.max(leastPauseMilliseconds, this.#handlers.gateways() * callsEachRound * 1000 / (this.#readsPerSecond * usedPart)) : retryPauseMilliseconds;
		this.#later(read, pause * (0.9 + (this.#handlers.random() * 0.2)));
	}

	#later(read: () => Promise<boolean>, milliseconds: number): void {
		if (this.#isStopped) {
			return;
		}

		this.#handlers.timers.after(milliseconds, () => {
			void this.#loop(read);
		});
	}

	async #readConfiguration(): Promise<boolean> {
		const askedAt = this.#handlers.now();
		const read = await this.#store.readConfiguration();
		if (this.#isStopped) {
			return false;
		}

		return read.match(configuration => {
			this.#handlers.onConfiguration(option.toUndefined(configuration), askedAt);
			return true;
		}, error => {
			this.#handlers.onFailure('read configuration', error.detail);
			return false;
		});
	}

	async #readTargets(): Promise<boolean> {
		const askedAt = this.#handlers.now();
		const read = await this.#store.listTargets();
		if (this.#isStopped) {
			return false;
		}

		return read.match(({list, unreadable}) => {
			this.#handlers.onTargets(list, unreadable, askedAt);
			return true;
		}, error => {
			this.#handlers.onFailure('list targets', error.detail);
			return false;
		});
	}
}
