/**
What entry gateways tell each other, and what they make of it.

Digests are short and go out often. What the store says goes its own way
(`store-supply`).
*/
import type {PeerMessage} from '../generated/peer-messages.js';
import {digestPace} from '../decisions/entry/digest-pace.js';
import type {EntryContext} from './entry-context.js';
import type {FleetKnowledge} from './fleet-knowledge.js';
import type {Peers} from './peers.js';
import type {PrefillGrants} from './prefill-grants.js';
import {StoreSupply} from './store-supply.js';

const digestMilliseconds = 200;
const soonMilliseconds = 25;
/** Addresses and leaving targets change seldom, so only some digests carry them. */
const fullMilliseconds = 1000;
/** Digests without news between two that are sent all the same. */
const quietDigests = 2;

type ExchangeOptions = {
	readonly context: EntryContext;
	readonly peers: Pick<Peers, 'addresses' | 'hear' | 'send' | 'broadcast'>;
	readonly knowledge: FleetKnowledge;
	/** Engines that this gateway follows. */
	readonly followed: () => readonly string[];
	readonly grants: PrefillGrants;
};

type Digest = Extract<PeerMessage, {kind: 'digest'}>;

/**
Sends digests on a timer and answers those of peers.

@example
```
const exchange = new PeerExchange(options);
exchange.start();
```
*/
export class PeerExchange {
	readonly #options: ExchangeOptions;
	readonly #supply: StoreSupply;
	#stopTicks: (() => void) | undefined;
	#lastDigest = '';
	#quiet = 0;
	#ticks = 0;
	#fullAt = Number.NEGATIVE_INFINITY;
	#cancelSoon: (() => void) | undefined;

	constructor(options: ExchangeOptions) {
		this.#options = options;
		this.#supply = new StoreSupply({
			context: options.context,
			knowledge: options.knowledge,
			send(peer, message) {
				options.peers.send(peer, message);
			},
		});
	}

	start(): void {
		this.#stopTicks = this.#options.context.timers.every(digestMilliseconds, () => {
			this.#tick();
		});
	}

	stop(): void {
		this.#stopTicks?.();
		this.#cancelSoon?.();
	}

	/** Tells peers at once, as a leaving target or a new configuration must not wait. */
	tellNow(): void {
		this.#lastDigest = '';
		this.#fullAt = Number.NEGATIVE_INFINITY;
		this.#tell();
	}

	/** Sends those that rely on this gateway what they lack, at once. */
	feedPeers(): void {
		this.#supply.feed();
	}

	/** Tells peers within a few milliseconds, many news at once. */
	tellSoon(): void {
		if (!digestPace(this.#options.context.gatewayCount()).isPlacementBroadcast) {
			return;
		}

		this.#cancelSoon ??= this.#options.context.timers.after(soonMilliseconds, () => {
			this.#cancelSoon = undefined;
			this.#tell();
		});
	}

	receive(peer: string, message: PeerMessage): void {
		switch (message.kind) {
			case 'hello': {
				this.#supply.forget(peer);
				this.#options.peers.send(peer, this.#digest({sent: [], told: this.#options.context.prefixCache.allReported(this.#options.followed())}, true, true));
				return;
			}

			case 'digest': {
				this.#hearDigest(peer, message);
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
				this.#supply.hearFresh(peer, message);
				return;
			}

			case 'configuration': {
				this.#supply.hearConfiguration(peer, message);
				return;
			}

			case 'targets': {
				this.#supply.hearTargets(peer, message);
				return;
			}

			case 'want': {
				this.#supply.give(peer, message);
			}
		}
	}

	lost(peer: string): void {
		this.#options.knowledge.feed.discard(peer);
		this.#supply.forget(peer);
		this.#options.context.loadTracker.removePeer(peer);
	}

	#digest({sent, told}: ReturnType<EntryContext['prefixCache']['takeUpdates']>, isFull: boolean, isWhole: boolean): Digest {
		const {context, peers, knowledge: {inForce}} = this.#options;
		const own = context.loadTracker.ownLoads();
		const followed = this.#options.followed();
		const rows = new Map(followed.map((engine, row) => [engine, row]));
		const heard = told.filter(({engine}) => rows.has(engine));
		return {
			kind: 'digest',
			configurationVersion: inForce.version,
			storeAge: this.#supply.storeAge,
			reader: this.#options.knowledge.feed.reader,
			isFed: this.#options.knowledge.feed.isFed(context.now()),
			leaving: isFull ? [...context.targetRegistry.leaving()] : [],
			peers: isFull ? [...peers.addresses] : [],
			sent: {engines: sent.map(({engine}) => engine), parts: sent.map(({part}) => part), tokens: sent.map(({tokens}) => tokens)},
			told: {
				engines: [...followed], rows: heard.map(({engine}) => rows.get(engine)!), parts: heard.map(({part}) => part), tokens: heard.map(({tokens}) => tokens), isWhole,
			},
			outstanding: {ids: own.map(({id}) => id), attempts: own.map(({attempts}) => attempts), readMilliseconds: own.map(({readMilliseconds}) => readMilliseconds)},
		};
	}

	/** Tells those that rely on this gateway, and at its pace the others. */
	#tick(): void {
		this.#ticks++;
		this.#supply.tick();
		if (this.#ticks % digestPace(this.#options.context.gatewayCount()).ticks === 0) {
			this.#tell();
		}
	}

	#tell(): void {
		const now = this.#options.context.now();
		const isFull = now - this.#fullAt >= fullMilliseconds;
		this.#fullAt = isFull ? now : this.#fullAt;
		const digest = this.#digest(this.#options.context.prefixCache.takeUpdates(), isFull, false);
		const text = JSON.stringify({...digest, storeAge: 0});
		this.#quiet = text === this.#lastDigest ? this.#quiet + 1 : 0;
		const mostQuiet = digestPace(this.#options.context.gatewayCount()).ticks > 1 ? 0 : quietDigests;
		if (this.#quiet % (mostQuiet + 1) === 0) {
			this.#lastDigest = text;
			this.#options.peers.broadcast(digest);
		}
	}

	#hearDigest(peer: string, digest: Digest): void {
		const {context, peers} = this.#options;
		const now = context.now();
		const {ids, attempts, readMilliseconds} = digest.outstanding;
		context.loadTracker.setPeerLoad(peer, ids.map((id, index) => ({id, attempts: attempts[index] ?? 0, readMilliseconds: readMilliseconds[index] ?? 0})), now);
		const known = this.#knownTargets();
		this.#hearSent(digest.sent, known, now);
		this.#hearTold(digest.told, known, now);
		peers.hear(digest.peers);
		for (const incarnation of digest.leaving) {
			if (context.targetRegistry.markLeaving(incarnation, now)) {
				context.metrics.count('target.leaving.peer');
				context.log.info({
					event: 'target leaving', target: incarnation, source: 'peer', peer,
				}, 'target leaving');
			}
		}

		this.#supply.hearDigest(peer, digest);
	}

	#hearSent({engines, parts, tokens}: Digest['sent'], known: ReadonlySet<string>, now: number): void {
		const {prefixCache} = this.#options.context;
		for (const [index, engine] of engines.entries()) {
			if (known.has(engine)) {
				prefixCache.recordPeerSent({engine, part: parts[index] ?? '', tokens: tokens[index] ?? 0}, now);
			}
		}
	}

	#hearTold({engines, rows, parts, tokens, isWhole}: Digest['told'], known: ReadonlySet<string>, now: number): void {
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
