/**
The duties that one gateway at a time performs for the platform. So far there is one: reports of usage.
*/
import type {Logger} from 'roarr';
import {CollectedUsage} from '../decisions/duties/collected-usage.js';
import {PeerReach} from '../decisions/duties/peer-reach.js';
import {ReportPlan} from '../decisions/duties/report-plan.js';
import {SharedTime} from '../decisions/duties/shared-time.js';
import type {EntryMetrics} from '../entry/entry-metrics.js';
import type {PeerMessage} from '../generated/peer-messages.js';
import type {DutyInterface} from '../ports/duty-interface.js';
import type {LeaseStore} from '../ports/lease-store.js';
import type {Timers} from '../shared/timers.js';
import {DutyLease} from './duty-lease.js';
import {UsageCounter} from './usage-counter.js';
import {UsageExchange} from './usage-exchange.js';
import {UsageReporter} from './usage-reporter.js';
import type {UsageSettings} from './usage-settings.js';

type DutiesOptions = {
	readonly name: string;
	/** Identifies this process among all that had its name. */
	readonly incarnation: string;
	readonly settings: UsageSettings;
	readonly store: LeaseStore;
	readonly duties: DutyInterface;
	/** Names of the peers that can be reached. */
	readonly peers: () => readonly string[];
	readonly send: (peer: string, message: PeerMessage) => void;
	readonly log: Pick<Logger, 'info' | 'warn'>;
	readonly metrics: Pick<EntryMetrics, 'count' | 'gauge'>;
	readonly now: () => number;
	/** Unix time in milliseconds; may jump. */
	readonly wallClock: () => number;
	readonly timers: Pick<Timers, 'every'>;
};

const dutyName = 'usage';
const leaseKey = `cowsliprudder/duties/${dutyName}`;
const tickMilliseconds = 100;
const forgetMilliseconds = 1000;

/**
One instance a process, where the settings give the gateways a duty.

@example
```
const duties = new Duties(options);
duties.start();
duties.counter.recordBegun('joiners-cork', clock());
```
*/
export class Duties {
	readonly counter: UsageCounter;
	readonly #options: DutiesOptions;
	readonly #time: SharedTime;
	readonly #collected = new CollectedUsage();
	readonly #plan: ReportPlan;
	readonly #reach = new PeerReach();
	readonly #lease: DutyLease;
	readonly #exchange: UsageExchange;
	readonly #reporter: UsageReporter;
	#stopTimer: (() => void) | undefined;
	#forgotAt = Number.NEGATIVE_INFINITY;

	constructor(options: DutiesOptions) {
		const {settings, name, store, duties, peers, send, log, metrics, now} = options;
		this.#options = options;
		this.#time = new SharedTime(now());
		this.#plan = new ReportPlan(settings);
		this.counter = new UsageCounter({
			windowMilliseconds: settings.windowMilliseconds, time: this.#time, metrics, now,
		});
		this.#lease = new DutyLease({
			name,
			key: leaseKey,
			leaseMilliseconds: settings.leaseMilliseconds,
			store,
			log,
			metrics,
			now,
			onHeld: token => {
				this.#plan.begin();
				this.#exchange.announce(token, true);
			},
			onLost: token => {
				this.#exchange.announce(token, false);
			},
		});
		const shared = {
			name, collected: this.#collected, plan: this.#plan, lease: this.#lease, metrics, now,
		};
		this.#exchange = new UsageExchange({
			...shared, incarnation: options.incarnation, dutyName, windowMilliseconds: settings.windowMilliseconds, peers, send, counter: this.counter, reach: this.#reach,
		});
		this.#reporter = new UsageReporter({
			...shared,
			leaseKey,
			callsPerSecond: settings.callsPerSecond,
			windowMilliseconds: settings.windowMilliseconds,
			store,
			duties,
			isComplete: window => this.#exchange.isComplete(window),
			onReport: window => {
				this.#exchange.tellReport(window);
			},
			log,
		});
	}

	/** Sent with each digest, so that all gateways can tell true time. */
	get wallTime(): number {
		return Math.round(this.#options.wallClock());
	}

	start(): void {
		this.#stopTimer = this.#options.timers.every(tickMilliseconds, () => {
			this.#tick();
		});
	}

	/** Ends the lease before a planned stop. Requests that still begin are counted and sent to the other gateways. */
	resign(): void {
		this.#lease.resign();
	}

	async stop(): Promise<void> {
		this.#stopTimer?.();
		this.#exchange.sendFinal();
		await this.#options.store.close();
	}

	recordWallTime(peer: string, wallTime: number): void {
		this.#time.recordPeer(peer, wallTime, this.#options.now());
	}

	/** Called when a link to a peer has opened, also to one that is linked already. */
	addPeer(peer: string, incarnation: string): void {
		this.#exchange.addPeer(peer, incarnation);
	}

	removePeer(peer: string): void {
		this.#time.removePeer(peer);
		this.#exchange.removePeer(peer);
	}

	receive(peer: string, message: Extract<PeerMessage, {kind: 'usage' | 'duty' | 'reports'}>): void {
		this.#exchange.receive(peer, message);
	}

	#tick(): void {
		const {peers, now, wallClock} = this.#options;
		const at = now();
		this.#time.recordOwn(wallClock(), at);
		this.#time.update(at);
		this.counter.advance();
		this.#reach.update(peers(), at);
		this.#lease.tick({
			rank: this.#exchange.rank, heardAt: this.#exchange.heardAt, isOutnumbered: this.#reach.isOutnumbered,
		});
		const {offset} = this.#time;
		if (offset === undefined) {
			return;
		}

		this.#exchange.tick(this.#missing(at + offset));
		this.#reporter.tick(at + offset);
		if (at - this.#forgotAt >= forgetMilliseconds) {
			this.#forgotAt = at;
			this.#forget(at + offset);
		}
	}

	#windowAt(time: number): number {
		return Math.floor(time / this.#options.settings.windowMilliseconds);
	}

	/** Counters that the reports of ended windows wait for. */
	#missing(time: number): readonly string[] {
		const endedWindow = this.#windowAt(time) - 1;
		return this.#lease.holding === undefined || this.#plan.isDecided(endedWindow) ? [] : this.#collected.missing(endedWindow, this.#options.now());
	}

	#forget(time: number): void {
		const {log, metrics, now} = this.#options;
		this.#collected.forget(this.#windowAt(time), now());
		for (const window of this.#plan.forget(time)) {
			metrics.count('usage.report.given-up');
			log.warn({event: 'usage report given up', window}, 'usage report given up: the platform has not accepted it in time');
		}
	}
}
