/**
Keeps what is in quarantine in the store, so that it is known again when all gateways start anew.

Gateways tell each other of crashes, which is faster and works without the store. So the store
is read once, by a gateway that starts, and written only when the quarantine changes.
*/
import * as option from 'fp-ts/lib/Option.js';
import type {Logger} from 'roarr';
import {rendezvousOrder} from '../decisions/routing/rendezvous-order.js';
import type {FleetStore} from '../ports/fleet-store.js';
import type {Timers} from '../shared/timers.js';
import {crashReport} from './crash-report.js';
import type {EntryMetrics} from './entry-metrics.js';
import type {PromptQuarantine} from './prompt-quarantine.js';

type QuarantineStoreOptions = {
	readonly name: string;
	/** Names of the peers that can be reached. */
	readonly peers: () => readonly string[];
	readonly store: () => FleetStore | undefined;
	readonly quarantine: Pick<PromptQuarantine, 'adopt' | 'reportHeld'>;
	readonly log: Pick<Logger, 'info' | 'warn'>;
	readonly metrics: Pick<EntryMetrics, 'count'>;
	readonly timers: Timers;
	/** Unix time in milliseconds, which gateways share but for the differences of their clocks. */
	readonly wallClock: () => number;
};

/** Gateways that write each change; more than one, in case that the store rejects the first. */
const writerCount = 2;
const retryMilliseconds = 1000;

/**
One instance a process.

@example
```
quarantineStore.start();
quarantineStore.save();
```
*/
export class QuarantineStore {
	readonly #options: QuarantineStoreOptions;
	#isStopped = false;
	#isRead = false;
	#isWriting = false;
	/** True while the store lacks what this gateway has to write. */
	#isUnsaved = false;
	#era = 0;

	constructor(options: QuarantineStoreOptions) {
		this.#options = options;
	}

	/** Reads what gateways that have ended left in the store. */
	start(): void {
		void this.#read();
	}

	stop(): void {
		this.#isStopped = true;
	}

	/** Writes the quarantine after a change, if this gateway is one that does. */
	save(): void {
		const {name, peers} = this.#options;
		if (rendezvousOrder('quarantine', [name, ...peers()]).slice(0, writerCount).includes(name)) {
			this.#isUnsaved = true;
			void this.#write();
		}
	}

	/** Writes the quarantine again after the store has come back from a copy, which may lack it. */
	recordEra(era: number): void {
		const isRestored = this.#era !== 0 && era > this.#era;
		this.#era = era;
		if (isRestored && this.#options.quarantine.reportHeld().crashes.length > 0) {
			this.save();
		}
	}

	async #read(): Promise<void> {
		const {store, quarantine, log, timers, wallClock} = this.#options;
		const answer = await store()?.readCrashReport();
		if (this.#isStopped || this.#isRead) {
			return;
		}

		if (answer === undefined || answer.isErr()) {
			timers.after(retryMilliseconds, () => {
				void this.#read();
			});
			return;
		}

		this.#isRead = true;
		const report = option.isSome(answer.value) ? crashReport.parse(answer.value.value, wallClock()) : undefined;
		if (report !== undefined) {
			log.info({event: 'quarantine read', crashes: report.crashes.length}, 'quarantine read from the store');
			quarantine.adopt('store', report);
		} else if (option.isSome(answer.value)) {
			log.warn({event: 'quarantine unreadable', length: answer.value.value.length}, 'quarantine in the store is malformed and is ignored');
		}
	}

	async #write(): Promise<void> {
		const {store, quarantine, log, metrics, timers, wallClock} = this.#options;
		if (this.#isWriting || !this.#isUnsaved || this.#isStopped) {
			return;
		}

		this.#isWriting = true;
		this.#isUnsaved = false;
		const report = quarantine.reportHeld();
		const result = await store()?.writeCrashReport(crashReport.format(report, wallClock()));
		this.#isWriting = false;
		const isWritten = result?.isOk() ?? false;
		metrics.count(isWritten ? 'quarantine.saved' : 'quarantine.unsaved');
		if (isWritten) {
			log.info({event: 'quarantine saved', crashes: report.crashes.length}, 'quarantine written to the store');
		} else {
			this.#isUnsaved = true;
		}

		timers.after(isWritten ? 0 : retryMilliseconds, () => {
			void this.#write();
		});
	}
}
