/**
Exchanges messages with the other entry gateways and applies what they report.

Each gateway regularly broadcasts a digest, a short summary of its state. Data from the
store is large and is sent separately, by `StoreRelay`.
*/
import type {PeerMessage} from '../generated/peer-messages.js';
import {digestPace} from '../decisions/entry/store/digest-pace.js';
import {ZoneLoadExchange} from '../load/zone-load-exchange.js';
import type {EntryContext} from './entry-context.js';
import type {FleetState} from './fleet-state.js';
import type {Peers} from './peers.js';
import type {PrefillGrants} from './prefill-grants.js';
import {StoreRelay} from './store-relay.js';

const tickMilliseconds = 200;
const broadcastDelayMilliseconds = 25;
/** Interval of full digests. Addresses and leaving targets change rarely, so the other digests omit them. */
const fullDigestMilliseconds = 1000;
/** Unchanged digests that are skipped in a row before one is sent nevertheless. */
const maxSkippedDigests = 2;
/** Ticks between two repetitions of what is known of crashes, each to one peer. */
const crashReportTicks = 5;

type PeerExchangeOptions = {
	readonly context: EntryContext;
	readonly peers: Pick<Peers, 'names' | 'members' | 'addresses' | 'addAddresses' | 'send' | 'broadcast'>;
	readonly fleetState: FleetState;
	/** Engines whose cache changes this gateway follows. */
	readonly followedEngines: () => readonly string[];
	readonly grants: PrefillGrants;
};

type Digest = Extract<PeerMessage, {kind: 'digest'}>;

/**
Broadcasts digests on a timer and handles the messages of peers.

@example
```
const exchange = new PeerExchange(options);
exchange.start();
```
*/
export class PeerExchange {
	readonly #options: PeerExchangeOptions;
	readonly #storeRelay: StoreRelay;
	readonly #zoneLoads: ZoneLoadExchange;
	#stopTimer: (() => void) | undefined;
	#lastDigest = '';
	#unchangedDigests = 0;
	#ticks = 0;
	#fullDigestAt = Number.NEGATIVE_INFINITY;
	#cancelScheduledDigest: (() => void) | undefined;

	constructor(options: PeerExchangeOptions) {
		this.#options = options;
		this.#zoneLoads = new ZoneLoadExchange({context: options.context, peers: options.peers, ownedEngines: options.followedEngines});
		this.#storeRelay = new StoreRelay({
			context: options.context,
			fleetState: options.fleetState,
			send(peer, message) {
				options.peers.send(peer, message);
			},
		});
	}

	start(): void {
		this.#zoneLoads.start();
		this.#stopTimer = this.#options.context.timers.every(tickMilliseconds, () => {
			this.#tick();
		});
	}

	stop(): void {
		this.#zoneLoads.stop();
		this.#stopTimer?.();
		this.#cancelScheduledDigest?.();
	}

	/** Broadcasts a full digest immediately, because a leaving target or a new configuration must not wait. */
	broadcastNow(): void {
		this.#lastDigest = '';
		this.#fullDigestAt = Number.NEGATIVE_INFINITY;
		this.#broadcastDigest();
	}

	/** Tells all peers at once of crashes that they do not know of. */
	broadcastCrashes(): void {
		const news = this.#options.context.quarantine.takeNews();
		if (news !== undefined) {
			this.#options.peers.broadcast(news);
		}
	}

	/** Immediately sends the gateways that this one feeds the store data that they lack. */
	feedDependents(): void {
		this.#storeRelay.feedDependents();
	}

	/** Broadcasts a digest within a few milliseconds, so that several changes share one. Does nothing in a large fleet. */
	broadcastSoon(): void {
		if (!digestPace(this.#options.context.gatewayCount()).isPlacementBroadcast) {
			return;
		}

		this.#cancelScheduledDigest ??= this.#options.context.timers.after(broadcastDelayMilliseconds, () => {
			this.#cancelScheduledDigest = undefined;
			this.#broadcastDigest();
		});
	}

	receive(peer: string, message: PeerMessage): void {
		switch (message.kind) {
			case 'hello': {
				this.#storeRelay.removePeer(peer);
				this.#options.context.duties?.addPeer(peer, message.incarnation);
				this.#sendCrashReport(peer);
				this.#options.context.rateLimits.sendTo(peer);
				this.#options.peers.send(peer, this.#createDigest({sent: [], told: this.#options.context.prefixCache.allReported(this.#options.followedEngines())}, true, true));
				return;
			}

			case 'digest': {
				this.#handleDigest(peer, message);
				return;
			}

			case 'ask': {
				this.#options.grants.handleAsk(peer, message);
				return;
			}

			case 'answer': {
				this.#options.grants.handleAnswer(message);
				return;
			}

			case 'read': {
				this.#options.grants.handlePrefillEnd(peer, message);
				return;
			}

			case 'fresh': {
				this.#storeRelay.handleFresh(peer, message);
				return;
			}

			case 'configuration': {
				this.#storeRelay.handleConfiguration(peer, message);
				return;
			}

			case 'targets': {
				this.#storeRelay.handleTargets(peer, message);
				return;
			}

			case 'crashes': {
				this.#options.context.quarantine.adopt(peer, message);
				return;
			}

			case 'zone load': {
				this.#zoneLoads.receive(peer, message);
				return;
			}

			case 'rate limit':
			case 'permit ask':
			case 'permits': {
				this.#options.context.rateLimits.receive(peer, message);
				return;
			}

			case 'usage':
			case 'duty':
			case 'reports': {
				this.#options.context.duties?.receive(peer, message);
				return;
			}

			case 'want': {
				this.#storeRelay.sendRequested(peer, message);
			}
		}
	}

	removePeer(peer: string): void {
		this.#options.fleetState.feed.discard(peer);
		this.#storeRelay.removePeer(peer);
		this.#options.context.loadTracker.removePeer(peer);
		this.#options.context.rateLimits.removePeer(peer);
		this.#options.context.duties?.removePeer(peer);
	}

	#createDigest({sent, told}: ReturnType<EntryContext['prefixCache']['takeUpdates']>, isFull: boolean, isWhole: boolean, usage?: Digest['usage']): Digest {
		const {context, peers, fleetState} = this.#options;
		const outstanding = context.loadTracker.ownLoads();
		const followed = this.#options.followedEngines();
		const rows = new Map(followed.map((engine, row) => [engine, row]));
		const gone = isFull ? context.targetRegistry.gone(context.now()) : [];
		const reported = told.filter(({engine}) => rows.has(engine));
		return {
			kind: 'digest',
			sentAt: Math.floor(context.now()),
			...context.duties === undefined ? {} : {wallTime: context.duties.wallTime},
			configurationVersion: fleetState.inForce.version,
			store: context.settings().store.address,
			storeEra: fleetState.era,
			sinceRestore: fleetState.sinceRestore,
			storeAge: this.#storeRelay.storeAge,
			reader: fleetState.feed.reader,
			isFed: fleetState.feed.isFed(context.now()),
			leaving: isFull ? [...context.targetRegistry.leaving(context.now())] : [],
			gone: {
				incarnations: gone.map(({incarnation}) => incarnation),
				eras: gone.map(({position}) => position.era),
				revisions: gone.map(({position}) => position.revision),
				ages: gone.map(({ageMilliseconds}) => ageMilliseconds),
			},
			peers: isFull ? [...peers.addresses] : [],
			sent: {engines: sent.map(({engine}) => engine), parts: sent.map(({part}) => part), tokens: sent.map(({tokens}) => tokens)},
			told: {
				engines: [...followed], rows: reported.map(({engine}) => rows.get(engine)!), parts: reported.map(({part}) => part), tokens: reported.map(({tokens}) => tokens), isWhole,
			},
			outstanding: {ids: outstanding.map(({id}) => id), attempts: outstanding.map(({attempts}) => attempts), readMilliseconds: outstanding.map(({readMilliseconds}) => readMilliseconds)},
			...usage === undefined ? {} : {usage},
		};
	}

	/** Runs the periodic work of the store relay, and broadcasts a digest as often as the number of gateways allows. */
	#tick(): void {
		this.#ticks++;
		this.#storeRelay.tick();
		this.broadcastCrashes();
		if (this.#ticks % crashReportTicks === 0) {
			this.#repeatCrashReport();
		}

		if (this.#ticks % digestPace(this.#options.context.gatewayCount()).ticks === 0) {
			this.#broadcastDigest();
		}
	}

	/** Repeats what is known of crashes to one peer, chosen at random, as it may have missed the news. */
	#repeatCrashReport(): void {
		const {context: {random}, peers} = this.#options;
		const peer = peers.names[Math.floor(random() * peers.names.length)];
		if (peer !== undefined) {
			this.#sendCrashReport(peer);
		}
	}

	#sendCrashReport(peer: string): void {
		const report = this.#options.context.quarantine.report();
		if (report !== undefined) {
			this.#options.peers.send(peer, report);
		}
	}

	#broadcastDigest(): void {
		const {activity, gatewayCount} = this.#options.context;
		activity.measure('digest to peers', gatewayCount(), () => {
			this.#sendDigest();
		});
	}

	#sendDigest(): void {
		const now = this.#options.context.now();
		const isFull = now - this.#fullDigestAt >= fullDigestMilliseconds;
		this.#fullDigestAt = isFull ? now : this.#fullDigestAt;
		const {prefixCache, fairness, gatewayCount} = this.#options.context;
		const digest = this.#createDigest(prefixCache.takeUpdates(), isFull, false, isFull ? fairness.takeReport(gatewayCount()) : undefined);
		const text = JSON.stringify({
			...digest, sentAt: 0, wallTime: 0, sinceRestore: 0, storeAge: 0, gone: digest.gone.incarnations,
		});
		this.#unchangedDigests = text === this.#lastDigest ? this.#unchangedDigests + 1 : 0;
		const maxSkipped = digestPace(gatewayCount()).ticks > 1 ? 0 : maxSkippedDigests;
		if (this.#unchangedDigests % (maxSkipped + 1) === 0) {
			this.#lastDigest = text;
			this.#options.peers.broadcast(digest);
		}
	}

	#handleDigest(peer: string, digest: Digest): void {
		const {context, peers} = this.#options;
		const now = context.now();
		const {ids, attempts, readMilliseconds} = digest.outstanding;
		context.loadTracker.setPeerLoad(peer, ids.map((id, index) => ({id, attempts: attempts[index] ?? 0, readMilliseconds: readMilliseconds[index] ?? 0})), now);
		const known = this.#knownTargets();
		context.fairness.recordReport(digest.usage ?? [], service => context.service(service) !== undefined);
		this.#recordPeerSent(digest.sent, known, now);
		this.#recordPeerReports(digest.told, known, now);
		peers.addAddresses(digest.peers);
		if (digest.wallTime !== undefined) {
			context.duties?.recordWallTime(peer, digest.wallTime);
		}

		for (const incarnation of digest.leaving) {
			if (context.targetRegistry.markLeaving(incarnation, now)) {
				context.metrics.count('target.leaving.peer');
				context.log.info({
					event: 'target leaving', target: incarnation, source: 'peer', peer,
				}, 'target leaving');
			}
		}

		this.#storeRelay.handleDigest(peer, digest);
	}

	#recordPeerSent({engines, parts, tokens}: Digest['sent'], known: ReadonlySet<string>, now: number): void {
		const {prefixCache} = this.#options.context;
		for (const [index, engine] of engines.entries()) {
			if (known.has(engine)) {
				prefixCache.recordPeerSent({engine, part: parts[index] ?? '', tokens: tokens[index] ?? 0}, now);
			}
		}
	}

	#recordPeerReports({engines, rows, parts, tokens, isWhole}: Digest['told'], known: ReadonlySet<string>, now: number): void {
		const {prefixCache} = this.#options.context;
		for (const [row, engine] of engines.entries()) {
			if (!known.has(engine)) {
				continue;
			}

			if (isWhole) {
				prefixCache.discardReports(engine);
			}

			prefixCache.recordPeerReport(engine, parts.flatMap((part, index) => rows[index] === row ? [{part, tokens: tokens[index] ?? 0}] : []), now);
		}
	}

	#knownTargets(): ReadonlySet<string> {
		return new Set(this.#options.context.targetRegistry.all().map(({incarnation}) => incarnation));
	}
}
