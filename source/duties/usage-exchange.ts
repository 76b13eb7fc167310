/**
Exchanges counts and decided reports with the gateways that report usage or may do so next.
*/
import type {CollectedUsage} from '../decisions/duties/collected-usage.js';
import {counterId} from '../decisions/duties/counter-id.js';
import {dutyCandidates} from '../decisions/duties/duty-candidates.js';
import type {PeerReach} from '../decisions/duties/peer-reach.js';
import type {ReportPlan} from '../decisions/duties/report-plan.js';
import {usagePace} from '../decisions/duties/usage-pace.js';
import type {EntryMetrics} from '../entry/entry-metrics.js';
import type {PeerMessage} from '../generated/peer-messages.js';
import type {DutyLease} from './duty-lease.js';
import type {UsageCounter} from './usage-counter.js';

type UsageMessage = Extract<PeerMessage, {kind: 'usage'}>;
type Duty = Extract<PeerMessage, {kind: 'duty'}>;
type Reports = Extract<PeerMessage, {kind: 'reports'}>;
type Holder = {readonly peer: string; readonly token: number; readonly heardAt: number};

type ExchangeOptions = {
	readonly name: string;
	readonly incarnation: string;
	readonly dutyName: string;
	/** Names of the peers that can be reached. */
	readonly peers: () => readonly string[];
	readonly send: (peer: string, message: PeerMessage) => void;
	readonly counter: UsageCounter;
	readonly collected: CollectedUsage;
	readonly plan: ReportPlan;
	readonly lease: DutyLease;
	readonly reach: PeerReach;
	readonly metrics: Pick<EntryMetrics, 'count'>;
	readonly windowMilliseconds: number;
	readonly now: () => number;
};

/** Interval at which the candidates are selected again, besides each time when a peer comes or goes. */
const candidatesMilliseconds = 1000;
/** Interval at which the holder tells the candidates that it is there. */
const dutyMilliseconds = 500;

/**
One instance a process.

@example
```
exchange.tick(missing);
exchange.receive('gateway-2', message);
```
*/
export class UsageExchange {
	readonly #options: ExchangeOptions;
	/** Receivers that have all own counts up to the last message. */
	readonly #synced = new Set<string>();
	/** Counters of the processes behind the links, by peer. */
	readonly #peerCounters = new Map<string, string>();
	/** The last holder that was heard. */
	#holder: Holder | undefined;
	#candidates: {readonly names: readonly string[]; readonly at: number} | undefined;
	#sentAt = Number.NEGATIVE_INFINITY;
	#sentCompleteThrough = Number.NEGATIVE_INFINITY;
	#dutySentAt = Number.NEGATIVE_INFINITY;

	constructor(options: ExchangeOptions) {
		this.#options = options;
	}

	/** When another holder was last heard, on the monotonic clock. */
	get heardAt(): number {
		return this.#holder?.heardAt ?? Number.NEGATIVE_INFINITY;
	}

	/** Place of this gateway among the candidates; undefined when it is none. */
	get rank(): number | undefined {
		const rank = this.#selectCandidates().indexOf(this.#options.name);
		return rank === -1 ? undefined : rank;
	}

	/** Sends what is due; `missing` lists the counters whose counts this gateway lacks as the holder. */
	tick(missing: readonly string[]): void {
		this.#sendCounts();
		const {lease, now} = this.#options;
		if (lease.holding !== undefined && now() - this.#dutySentAt >= dutyMilliseconds) {
			this.#dutySentAt = now();
			this.#tell(this.#receivers(), true, missing);
		}
	}

	/** Tells all peers that this gateway holds the lease, or no longer does. */
	announce(token: number, isHeld: boolean): void {
		this.#candidates = undefined;
		for (const peer of this.#options.peers()) {
			this.#options.send(peer, {
				kind: 'duty', token, isHeld, missing: [],
			});
		}
	}

	/** Tells the candidates of a report that is decided or accepted. */
	tellReport(window: number): void {
		const reports = this.#options.plan.known().filter(report => report.window === window);
		for (const peer of this.#receivers()) {
			this.#options.send(peer, {kind: 'reports', reports: [...reports]});
		}
	}

	/** Sends all counts once more, as the process ends. */
	sendFinal(): void {
		const {usage} = this.#options.counter;
		if (usage !== undefined) {
			this.#sendTo(this.#receivers(), {...this.#message(usage.all()), isFinal: true});
		}
	}

	/** Sends a peer whose link has opened what it may lack. */
	addPeer(peer: string, incarnation: string): void {
		const {lease, reach} = this.#options;
		this.#peerCounters.set(peer, counterId.of(peer, incarnation));
		this.#candidates = undefined;
		reach.add(peer);
		this.#synced.delete(peer);
		if (lease.holding !== undefined) {
			this.#tell([peer], true, []);
		}
	}

	removePeer(peer: string): void {
		this.#peerCounters.delete(peer);
		this.#candidates = undefined;
		this.#synced.delete(peer);
		if (this.#holder?.peer === peer) {
			this.#holder = undefined;
		}
	}

	/** True when nobody's counts are waited for in this window, and the counts of each peer that can be reached are known. */
	isComplete(window: number): boolean {
		const {collected, now} = this.#options;
		return collected.missing(window, now()).length === 0 && [...this.#peerCounters.values()].every(counter => collected.has(counter));
	}

	receive(peer: string, message: UsageMessage | Duty | Reports): void {
		switch (message.kind) {
			case 'usage': {
				this.#receiveCounts(peer, message);
				return;
			}

			case 'duty': {
				this.#receiveDuty(peer, message);
				return;
			}

			case 'reports': {
				for (const {window, text, isAccepted} of message.reports) {
					this.#options.plan.remember(window, text, isAccepted);
				}
			}
		}
	}

	#receiveCounts(peer: string, message: UsageMessage): void {
		const {collected, plan, reach, metrics, now} = this.#options;
		// A gateway that has started again may forward the counts of its own former process.
		const isDirect = this.#peerCounters.get(peer) === message.counter;
		const late = collected.record(message, isDirect, now()).filter(window => plan.isDecided(window));
		if (late.length > 0) {
			metrics.count('usage.late', late.length);
		}

		if (isDirect && message.isFinal) {
			reach.remove(peer);
		}
	}

	#receiveDuty(peer: string, {token, isHeld, missing}: Duty): void {
		const {lease, collected, now} = this.#options;
		if (token < (this.#holder?.token ?? 0)) {
			return;
		}

		const own = lease.holding?.token;
		if (own !== undefined && own < token && isHeld) {
			lease.giveUp(own, 'superseded');
		}

		const isNew = isHeld && this.#holder?.token !== token;
		this.#holder = isHeld ? {peer, token, heardAt: now()} : undefined;
		if (isNew || !isHeld) {
			this.#candidates = undefined;
		}

		if (isNew) {
			this.#supply(peer);
		}

		if (missing.length > 0) {
			this.#forward(peer, counter => missing.includes(counter));
		}
	}

	/** Sends a new holder what it may lack: the own counts, those of processes that are out of reach, and decided reports. */
	#supply(peer: string): void {
		const {name, incarnation, plan, counter: {usage}, send} = this.#options;
		const reports = plan.known();
		if (reports.length > 0) {
			send(peer, {kind: 'reports', reports: [...reports]});
		}

		if (usage !== undefined) {
			this.#sendTo([peer], this.#message(usage.all()));
		}

		// Processes that can be reached send their counts themselves; a former process of such a gateway does not.
		const reached = new Set([...this.#peerCounters.values(), counterId.of(name, incarnation)]);
		this.#forward(peer, counter => !reached.has(counter));
	}

	#forward(peer: string, isWanted: (counter: string) => boolean): void {
		for (const message of this.#options.collected.messages(isWanted)) {
			this.#options.metrics.count('usage.forwarded');
			this.#options.send(peer, message);
		}
	}

	#selectCandidates(): readonly string[] {
		const {name, dutyName, peers, lease, now} = this.#options;
		if (this.#candidates === undefined || now() - this.#candidates.at >= candidatesMilliseconds) {
			const holder = lease.holding === undefined ? this.#holder?.peer : name;
			this.#candidates = {names: dutyCandidates(dutyName, [name, ...peers()], holder), at: now()};
		}

		return this.#candidates.names;
	}

	/** The peers that hold the lease or may hold it next. */
	#receivers(): readonly string[] {
		const {name, peers} = this.#options;
		const holder = this.#holder?.peer;
		const candidates = this.#selectCandidates().filter(candidate => candidate !== name && candidate !== holder);
		return holder === undefined || !peers().includes(holder) ? candidates : [holder, ...candidates];
	}

	/** Sends the changes at the pace of the fleet, and at once when a window is complete, as its report waits for that. */
	#sendCounts(): void {
		const {counter: {usage}, peers, collected, windowMilliseconds, now} = this.#options;
		if (usage === undefined || (now() - this.#sentAt < usagePace(peers().length + 1, windowMilliseconds) && usage.completeThrough === this.#sentCompleteThrough)) {
			return;
		}

		this.#sentAt = now();
		this.#sentCompleteThrough = usage.completeThrough;
		const changes = usage.takeChanges();
		collected.record(this.#message(changes ?? []), true, now());
		const receivers = this.#receivers();
		const unsynced = receivers.filter(peer => !this.#synced.has(peer));
		if (changes !== undefined) {
			this.#sendTo(receivers.filter(peer => this.#synced.has(peer)), this.#message(changes));
		}

		if (unsynced.length > 0) {
			this.#sendTo(unsynced, this.#message(usage.all()));
		}

		this.#synced.clear();
		for (const peer of receivers) {
			this.#synced.add(peer);
		}
	}

	#message(windows: UsageMessage['windows']): UsageMessage {
		const {name, incarnation, counter: {usage}} = this.#options;
		return {
			kind: 'usage', counter: counterId.of(name, incarnation), firstWindow: usage!.firstWindow, completeThrough: usage!.completeThrough, isFinal: false, windows,
		};
	}

	#sendTo(receivers: readonly string[], message: UsageMessage): void {
		for (const peer of receivers) {
			this.#options.send(peer, message);
		}
	}

	#tell(receivers: readonly string[], isHeld: boolean, missing: readonly string[]): void {
		const {lease, send} = this.#options;
		for (const peer of receivers) {
			send(peer, {
				kind: 'duty', token: lease.holding!.token, isHeld, missing: [...missing],
			});
		}
	}
}
