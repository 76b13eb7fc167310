/**
Tells the gateways of the same availability zone what work this gateway has at targets, and
the whole prefill backlog of the engines that it owns, several times a second.

Only large fleets need it: in small ones, digests do the same.
*/
import {isLargeFleet} from '../decisions/load/is-large-fleet.js';
import {LoadChanges} from '../decisions/load/load-changes.js';
import type {EntryContext} from '../entry/entry-context.js';
import type {Peers} from '../entry/peers.js';
import type {PeerMessage} from '../generated/peer-messages.js';

type ZoneLoad = Extract<PeerMessage, {kind: 'zone load'}>;

type ZoneLoadOptions = {
	readonly context: Pick<EntryContext, 'settings' | 'loadTracker' | 'targetRegistry' | 'gatewayCount' | 'now' | 'timers'>;
	readonly peers: Pick<Peers, 'members' | 'broadcast'>;
	/** Incarnations of the engines that this gateway owns. */
	readonly ownedEngines: () => readonly string[];
};

/** A long prompt occupies an engine for some 100 ms, so reports must come more often than that. */
const tickMilliseconds = 50;
/** Peers of the zone that are sent a report on every tick; with more, reports come less often, so that a gateway's messages stay the same. */
const peersPerTick = 8;
/** Reports after which an owner's report of an engine's backlog no longer counts. It is repeated while the backlog changes. */
const ownerReportLifetimeReports = 3;

/**
One instance a process.

@example
```
const exchange = new ZoneLoadExchange({context, peers, ownedEngines: () => pollers.engines});
exchange.start();
```
*/
export class ZoneLoadExchange {
	#ticks = 0;
	#ticksPerReport = 1;
	#stopTimer: (() => void) | undefined;
	readonly #options: ZoneLoadOptions;
	readonly #outstanding = new LoadChanges();
	readonly #owned = new LoadChanges();

	constructor(options: ZoneLoadOptions) {
		this.#options = options;
	}

	start(): void {
		this.#stopTimer = this.#options.context.timers.every(tickMilliseconds, () => {
			this.#tick();
		});
	}

	stop(): void {
		this.#stopTimer?.();
	}

	/** Applies the report of a peer. */
	receive(peer: string, {outstanding, owned}: ZoneLoad): void {
		const {loadTracker, now} = this.#options.context;
		const at = now();
		const lifetimeMilliseconds = ownerReportLifetimeReports * this.#ticksPerReport * tickMilliseconds;
		loadTracker.updatePeerLoad(peer, outstanding.ids.map((id, row) => ({id, attempts: outstanding.attempts[row] ?? 0, readMilliseconds: outstanding.readMilliseconds[row] ?? 0})), at);
		for (const [row, id] of owned.ids.entries()) {
			loadTracker.setOwnerBacklog(id, owned.readMilliseconds[row] ?? 0, at, lifetimeMilliseconds);
		}
	}

	#tick(): void {
		const {context: {gatewayCount, settings}, peers} = this.#options;
		this.#ticks++;
		if (!isLargeFleet(gatewayCount())) {
			return;
		}

		const near = peers.members.filter(({availabilityZone}) => availabilityZone === settings().availabilityZone);
		this.#ticksPerReport = Math.max(1, Math.ceil(near.length / peersPerTick));
		if (near.length > 0 && this.#ticks % this.#ticksPerReport === 0) {
			this.#report(near.map(({name}) => name));
		}
	}

	#report(names: readonly string[]): void {
		const outstanding = this.#outstanding.take(this.#options.context.loadTracker.ownLoads());
		const owned = this.#owned.take(this.#ownedBacklogs());
		if (outstanding.length === 0 && owned.length === 0) {
			return;
		}

		const message: ZoneLoad = {
			kind: 'zone load',
			outstanding: {
				ids: outstanding.map(({id}) => id), attempts: outstanding.map(({attempts}) => attempts), readMilliseconds: outstanding.map(({readMilliseconds}) => readMilliseconds),
			},
			owned: {ids: owned.map(({id}) => id), readMilliseconds: owned.map(({readMilliseconds}) => readMilliseconds)},
		};
		this.#options.peers.broadcast(message, names);
	}

	#ownedBacklogs(): ReadonlyArray<{readonly id: string; readonly attempts: number; readonly readMilliseconds: number}> {
		const {loadTracker, targetRegistry, now} = this.#options.context;
		const owned = new Set(this.#options.ownedEngines());
		return targetRegistry.all()
			.filter(({incarnation}) => owned.has(incarnation))
			.map(({id}) => ({id, attempts: 0, readMilliseconds: Math.round(loadTracker.totalLoad(id, now()).readMilliseconds)}));
	}
}
