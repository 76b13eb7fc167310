/**
What entry gateways tell each other, and what they make of it.

Digests are short and go out often; whole configurations and lists go only to a
peer that lacks them and cannot read them from the store itself.
*/
import type {PeerMessage} from '../generated/peer-messages.js';
import {ConfigurationWant} from '../decisions/entry/configuration-want.js';
import {digestPace} from '../decisions/entry/digest-pace.js';
import type {FleetConfiguration} from '../fleet/fleet-configuration.js';
import type {EntryContext} from './entry-context.js';
import type {FleetKnowledge} from './fleet-knowledge.js';
import type {Peers} from './peers.js';
import type {ReadGrants} from './read-grants.js';

const digestMilliseconds = 200;
const soonMilliseconds = 25;
/** Addresses and leaving targets change seldom, so only some digests carry them. */
const fullMilliseconds = 1000;
/** Digests without news between two that are sent all the same. */
const quietDigests = 2;
/** A store that was read this long ago is taken as out of reach. */
const storeMilliseconds = 1500;
/** Age that stands for never. */
const mostStoreAge = 3_600_000;

type ExchangeOptions = {
	readonly context: EntryContext;
	readonly peers: Pick<Peers, 'addresses' | 'hear' | 'send' | 'broadcast'>;
	readonly knowledge: FleetKnowledge;
	/** Engines that this gateway follows. */
	readonly followed: () => readonly string[];
	readonly grants: ReadGrants;
};

type Digest = Extract<PeerMessage, {kind: 'digest'}>;
type Fresh = Extract<PeerMessage, {kind: 'fresh'}>;
type Want = Extract<PeerMessage, {kind: 'want'}>;

type PeerState = {toldVersion: number; toldList: number | undefined; digest: Digest | undefined};

const newState = (digest: Digest | undefined): PeerState => ({toldVersion: 0, toldList: undefined, digest});

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
	readonly #states = new Map<string, PeerState>();
	readonly #want: ConfigurationWant;
	#stopTicks: (() => void) | undefined;
	#lastDigest = '';
	#quiet = 0;
	#ticks = 0;
	#fullAt = Number.NEGATIVE_INFINITY;
	#cancelSoon: (() => void) | undefined;

	constructor(options: ExchangeOptions) {
		this.#options = options;
		this.#want = new ConfigurationWant(options.context.settings().name);
	}

	get #storeAge(): number {
		const {context, knowledge} = this.#options;
		return Math.round(Math.min(mostStoreAge, context.now() - knowledge.storeReadAt));
	}

	get hasStore(): boolean {
		return this.#options.context.now() - this.#options.knowledge.storeReadAt < storeMilliseconds;
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
		for (const [peer, {digest}] of this.#states) {
			if (digest !== undefined && this.#isReader(digest)) {
				this.#help(peer, digest);
			}
		}
	}

	/** Tells peers within a few milliseconds, many news at once. */
	tellSoon(): void {
		if (!digestPace(this.#options.context.gateways()).isPlacementTold) {
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
				this.#states.set(peer, newState(undefined));
				this.#options.peers.send(peer, this.#digest({sent: [], told: this.#options.context.kept.allTold(this.#options.followed())}, true, true));
				return;
			}

			case 'digest': {
				this.#hearDigest(peer, message);
				return;
			}

			case 'ask': {
				this.#options.grants.hearAsk(peer, message);
				return;
			}

			case 'answer': {
				this.#options.grants.hearAnswer(message);
				return;
			}

			case 'read': {
				this.#options.grants.hearRead(peer, message);
				return;
			}

			case 'fresh': {
				this.#hearFresh(peer, message);
				return;
			}

			case 'configuration': {
				this.#options.knowledge.adopt(message.configuration as unknown as FleetConfiguration, this.#options.context.now(), 'peer', peer);
				return;
			}

			case 'targets': {
				const targets = message.targets.map(target => ({...target, role: target.role}));
				this.#options.knowledge.adoptTargets({revision: message.revision, targets}, this.#options.context.now() - message.age, 'peer', peer);
				return;
			}

			case 'want': {
				this.#giveWanted(peer, message);
			}
		}
	}

	lost(peer: string): void {
		this.#options.knowledge.feed.lost(peer);
		this.#states.delete(peer);
		this.#options.context.book.forgetPeer(peer);
	}

	#digest({sent, told}: ReturnType<EntryContext['kept']['takeNews']>, isFull: boolean, isWhole: boolean): Digest {
		const {context, peers, knowledge: {inForce}} = this.#options;
		const own = context.book.own();
		const followed = this.#options.followed();
		const rows = new Map(followed.map((engine, row) => [engine, row]));
		const heard = told.filter(({engine}) => rows.has(engine));
		return {
			kind: 'digest',
			configurationVersion: inForce.version,
			storeAge: this.#storeAge,
			reader: this.#options.knowledge.feed.reader,
			isFed: this.#options.knowledge.feed.isFed(context.now()),
			leaving: isFull ? [...context.beliefs.leaving()] : [],
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
		const {context, peers, knowledge: {inForce}} = this.#options;
		for (const [peer, {digest}] of this.#states) {
			if (digest !== undefined && this.#isReader(digest)) {
				peers.send(peer, {
					kind: 'fresh', storeAge: this.#storeAge, configurationVersion: inForce.version, revision: context.beliefs.list.revision, listName: context.beliefs.listName,
				});
			}
		}

		this.#askConfiguration();
		if (this.#ticks % digestPace(context.gateways()).ticks === 0) {
			this.#tell();
		}
	}

	#tell(): void {
		const now = this.#options.context.now();
		const isFull = now - this.#fullAt >= fullMilliseconds;
		this.#fullAt = isFull ? now : this.#fullAt;
		const digest = this.#digest(this.#options.context.kept.takeNews(), isFull, false);
		const text = JSON.stringify({...digest, storeAge: 0});
		this.#quiet = text === this.#lastDigest ? this.#quiet + 1 : 0;
		const mostQuiet = digestPace(this.#options.context.gateways()).ticks > 1 ? 0 : quietDigests;
		if (this.#quiet % (mostQuiet + 1) === 0) {
			this.#lastDigest = text;
			this.#options.peers.broadcast(digest);
		}
	}

	#hearDigest(peer: string, digest: Digest): void {
		const {context, peers} = this.#options;
		const now = context.now();
		const {ids, attempts, readMilliseconds} = digest.outstanding;
		context.book.hearPeer(peer, ids.map((id, index) => ({id, attempts: attempts[index] ?? 0, readMilliseconds: readMilliseconds[index] ?? 0})), now);
		const known = this.#knownTargets();
		this.#hearSent(digest.sent, known, now);
		this.#hearTold(digest.told, known, now);
		peers.hear(digest.peers);
		for (const incarnation of digest.leaving) {
			if (context.beliefs.markLeaving(incarnation, now)) {
				context.metrics.count('target.leaving.peer');
				context.log.info({
					event: 'target leaving', target: incarnation, source: 'peer', peer,
				}, 'target leaving');
			}
		}

		const state = this.#states.get(peer);
		if (state !== undefined) {
			state.digest = digest;
		}

		if (!digest.isFed || this.#isReader(digest)) {
			this.#help(peer, digest);
		}
	}

	/** Takes the word of the gateway that this one relies on, if it holds for what is in force here. */
	#hearFresh(peer: string, {storeAge, configurationVersion, revision, listName}: Fresh): void {
		const {context: {beliefs, now}, peers, knowledge} = this.#options;
		if (peer !== knowledge.feed.reader) {
			return;
		}

		if (listName !== beliefs.listName) {
			if (revision >= beliefs.list.revision) {
				peers.send(peer, {kind: 'want', subject: 'targets'});
			}

			return;
		}

		const readAt = now() - storeAge;
		knowledge.feed.hear(peer, readAt);
		knowledge.confirmTargets(revision, readAt, peer);
		if (knowledge.feed.isFed(now())) {
			knowledge.inForce.confirm(configurationVersion, readAt);
		}
	}

	#hearSent({engines, parts, tokens}: Digest['sent'], known: ReadonlySet<string>, now: number): void {
		const {kept} = this.#options.context;
		for (const [index, engine] of engines.entries()) {
			if (known.has(engine)) {
				kept.hearSent({engine, part: parts[index] ?? '', tokens: tokens[index] ?? 0}, now);
			}
		}
	}

	#hearTold({engines, rows, parts, tokens, isWhole}: Digest['told'], known: ReadonlySet<string>, now: number): void {
		const {kept} = this.#options.context;
		for (const [row, engine] of engines.entries()) {
			if (!known.has(engine)) {
				continue;
			}

			if (isWhole) {
				kept.forgetTold(engine);
			}

			kept.hearTold(engine, parts.flatMap((part, index) => rows[index] === row ? [{part, tokens: tokens[index] ?? 0}] : []), now);
		}
	}

	/** True when the sender of a digest relies on this gateway. */
	#isReader({reader}: Digest): boolean {
		return reader === this.#options.context.settings().name;
	}

	#giveWanted(peer: string, {subject}: Want): void {
		switch (subject) {
			case 'targets': {
				this.#tellTargets(peer, undefined);
				return;
			}

			case 'configuration': {
				this.#tellConfiguration(peer);
			}
		}
	}

	#tellConfiguration(peer: string): void {
		const {context: {metrics}, peers, knowledge: {inForce: {current}}} = this.#options;
		if (current !== undefined) {
			metrics.count('configuration.sent');
			peers.send(peer, {kind: 'configuration', configuration: current as unknown as Extract<PeerMessage, {kind: 'configuration'}>['configuration']});
		}
	}

	/** Asks one peer for a configuration that is lacked here. */
	#askConfiguration(): void {
		const {context: {now, log}, peers, knowledge: {feed, inForce}} = this.#options;
		const versions = new Map([...this.#states].flatMap(([peer, {digest}]) => digest === undefined ? [] : [[peer, digest.configurationVersion]]));
		const isSupplied = this.hasStore || feed.isFed(now());
		const peer = this.#want.next({
			version: inForce.version, peers: versions, reader: feed.reader, isSupplied,
		}, now());
		if (peer !== undefined) {
			log.info({
				event: 'configuration asked', peer, version: inForce.version, announced: versions.get(peer), isSupplied,
			}, 'a peer is asked for a newer configuration');
			peers.send(peer, {kind: 'want', subject: 'configuration'});
		}
	}

	/** Sends a peer the newest list, unless that is what it was told last. */
	#tellTargets(peer: string, toldList: number | undefined): void {
		const {beliefs, now} = this.#options.context;
		const {list: {revision, targets}, listName, readAt} = beliefs;
		if (listName !== toldList && revision > 0) {
			this.#options.peers.send(peer, {
				kind: 'targets', revision, age: Math.round(Math.min(mostStoreAge, now() - readAt)), targets: targets.map(target => ({...target})),
			});
		}
	}

	#knownTargets(): ReadonlySet<string> {
		return new Set(this.#options.context.beliefs.all().map(({incarnation}) => incarnation));
	}

	/** Sends a peer what it lacks and did not ask for. */
	#help(peer: string, digest: Digest): void {
		const {knowledge: {inForce}} = this.#options;
		const lacksStore = digest.storeAge >= storeMilliseconds || this.#isReader(digest);
		const state = this.#states.get(peer) ?? newState(digest);
		this.#states.set(peer, state);
		if (this.#isReader(digest) && digest.configurationVersion < inForce.version && state.toldVersion < inForce.version) {
			state.toldVersion = inForce.version;
			this.#tellConfiguration(peer);
		}

		if (!lacksStore) {
			state.toldList = undefined;
			return;
		}

		if (this.hasStore) {
			this.#tellTargets(peer, state.toldList);
			state.toldList = this.#options.context.beliefs.listName;
		}
	}
}
