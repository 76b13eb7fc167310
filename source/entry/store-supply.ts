/**
How gateways pass on to each other what the store says: lists of targets, and
configurations.

Both are large, so they are sent to those that rely on this gateway's readings
when they change, and otherwise only to a peer that asks. What goes out all the
time is a short word on what was read last, and when.
*/
import {ConfigurationPeerSelector} from '../decisions/entry/configuration-peer-selector.js';
import type {FleetConfiguration} from '../fleet/fleet-configuration.js';
import type {PeerMessage} from '../generated/peer-messages.js';
import type {EntryContext} from './entry-context.js';
import type {FleetKnowledge} from './fleet-knowledge.js';
import {listFacts} from './list-facts.js';

type Digest = Extract<PeerMessage, {kind: 'digest'}>;
type Fresh = Extract<PeerMessage, {kind: 'fresh'}>;
type Want = Extract<PeerMessage, {kind: 'want'}>;
type Configuration = Extract<PeerMessage, {kind: 'configuration'}>;
type Targets = Extract<PeerMessage, {kind: 'targets'}>;

type SupplyOptions = {
	readonly context: EntryContext;
	readonly knowledge: FleetKnowledge;
	readonly send: (peer: string, message: PeerMessage) => void;
};

/** What a peer last said, and what it was told unasked: a version, and the name of a list. */
type PeerState = {readonly digest: Digest; toldVersion: number; toldList: number | undefined};

/** A store that was read this long ago is taken as out of reach. */
const storeMilliseconds = 1500;
/** A gateway that reads for itself and has not for so long is given the word of those that have. */
const unreadMilliseconds = 1000;
/** Ticks between two asks for targets. */
const ticksEachAsk = 3;
/** Age that stands for never. */
const mostStoreAge = 3_600_000;

/**
Invariant: a peer is sent each configuration once unasked at most.

@example
```
supply.hearDigest('gateway-2', digest);
supply.tick();
```
*/
export class StoreSupply {
	readonly #options: SupplyOptions;
	readonly #states = new Map<string, PeerState>();
	readonly #want: ConfigurationPeerSelector;
	#ticks = 0;

	constructor(options: SupplyOptions) {
		this.#options = options;
		this.#want = new ConfigurationPeerSelector(options.context.settings().name);
	}

	/** How many milliseconds ago this gateway read the store itself. */
	get storeAge(): number {
		const {context, knowledge} = this.#options;
		return Math.round(Math.min(mostStoreAge, context.now() - knowledge.storeReadAt));
	}

	get #hasStore(): boolean {
		return this.storeAge < storeMilliseconds;
	}

	/** Forgets what a peer was told, as it has gone or has started anew. */
	forget(peer: string): void {
		this.#states.delete(peer);
	}

	/** Takes what a peer lacks from its digest, and sends what should not wait until it asks. */
	hearDigest(peer: string, digest: Digest): void {
		const {toldVersion = 0, toldList} = this.#states.get(peer) ?? {};
		const state = {digest, toldVersion, toldList};
		this.#states.set(peer, state);
		if (!digest.isFed || this.#isReader(digest)) {
			this.#help(peer, state);
		}
	}

	/** Sends those that rely on this gateway what they lack, at once. */
	feed(): void {
		for (const [peer, state] of this.#states) {
			if (this.#isReader(state.digest)) {
				this.#help(peer, state);
			}
		}
	}

	/** Gives its word to those that rely on this gateway or cannot read, and asks for what is lacked here. */
	tick(): void {
		const {context: {targetRegistry}, knowledge: {inForce}, send} = this.#options;
		for (const [peer, {digest}] of this.#states) {
			const isUnread = !digest.isFed && digest.storeAge >= unreadMilliseconds && this.#hasStore;
			if (this.#isReader(digest) || isUnread) {
				send(peer, {
					kind: 'fresh', storeAge: this.storeAge, configurationVersion: inForce.version, revision: targetRegistry.list.revision, listName: targetRegistry.listHash,
				});
			}
		}

		this.#askConfiguration();
		this.#askTargets();
	}

	/** Sends what a peer asks for. */
	give(peer: string, {subject}: Want): void {
		switch (subject) {
			case 'targets': {
				this.#tellTargets(peer);
				return;
			}

			case 'configuration': {
				this.#tellConfiguration(peer);
			}
		}
	}

	/**
	Takes the word of the gateway that this one relies on, or of any while it cannot
	read, if it holds for what is in force here.
	*/
	hearFresh(peer: string, {storeAge, configurationVersion, revision, listName}: Fresh): void {
		const {context: {targetRegistry, now}, knowledge, send} = this.#options;
		if (peer !== knowledge.feed.reader && this.storeAge < unreadMilliseconds) {
			return;
		}

		if (listName !== targetRegistry.listHash) {
			if (revision >= targetRegistry.list.revision) {
				send(peer, {kind: 'want', subject: 'targets'});
			}

			return;
		}

		const readAt = now() - storeAge;
		knowledge.feed.confirm(peer, readAt);
		knowledge.confirmTargets(revision, readAt, peer);
		if (knowledge.feed.isFed(now())) {
			knowledge.inForce.confirm(configurationVersion, readAt);
		}
	}

	hearTargets(peer: string, {revision, age, targets}: Targets): void {
		const {context, knowledge} = this.#options;
		knowledge.adoptTargets({revision, targets: targets.map(target => ({...target, role: target.role}))}, context.now() - age, 'peer', peer);
	}

	hearConfiguration(peer: string, {configuration}: Configuration): void {
		const {context, knowledge} = this.#options;
		knowledge.adopt(configuration as unknown as FleetConfiguration, context.now(), 'peer', peer);
	}

	/** True when the sender of a digest relies on this gateway. */
	#isReader({reader}: Digest): boolean {
		return reader === this.#options.context.settings().name;
	}

	#help(peer: string, state: PeerState): void {
		const {context: {targetRegistry}, knowledge: {inForce}} = this.#options;
		const {digest} = state;
		const isRelying = this.#isReader(digest);
		if (isRelying && Math.max(digest.configurationVersion, state.toldVersion) < inForce.version) {
			state.toldVersion = inForce.version;
			this.#tellConfiguration(peer);
		}

		if (!isRelying && digest.storeAge < storeMilliseconds) {
			state.toldList = undefined;
		} else if (this.#hasStore && state.toldList !== targetRegistry.listHash) {
			state.toldList = targetRegistry.listHash;
			this.#tellTargets(peer);
		}
	}

	/** Sends a peer the newest list, as the store made it. */
	#tellTargets(peer: string): void {
		const {context, send} = this.#options;
		const {revision, listAge} = listFacts(context);
		if (revision > 0) {
			send(peer, {
				kind: 'targets', revision, age: listAge, targets: context.targetRegistry.list.targets.map(target => ({...target})),
			});
		}
	}

	#tellConfiguration(peer: string): void {
		const {context: {metrics}, knowledge: {inForce: {current}}, send} = this.#options;
		if (current !== undefined) {
			metrics.count('configuration.sent');
			send(peer, {kind: 'configuration', configuration: current as unknown as Configuration['configuration']});
		}
	}

	/** Asks one peer after another for targets while none is known here, as after a start with the store away. */
	#askTargets(): void {
		const {context: {targetRegistry}, send} = this.#options;
		const peers = [...this.#states.keys()];
		const peer = peers[Math.floor(this.#ticks / ticksEachAsk) % Math.max(1, peers.length)];
		if (peer !== undefined && this.#ticks % ticksEachAsk === 0 && targetRegistry.all().length === 0) {
			send(peer, {kind: 'want', subject: 'targets'});
		}

		this.#ticks++;
	}

	/** Asks one peer for a configuration that is lacked here. */
	#askConfiguration(): void {
		const {context: {now, log}, knowledge: {feed, inForce}, send} = this.#options;
		const versions = new Map([...this.#states].map(([peer, {digest}]) => [peer, digest.configurationVersion]));
		const isSupplied = this.#hasStore || feed.isFed(now());
		const peer = this.#want.next({
			version: inForce.version, peers: versions, reader: feed.reader, isSupplied,
		}, now());
		if (peer !== undefined) {
			log.info({
				event: 'configuration asked', peer, version: inForce.version, announced: versions.get(peer), isSupplied,
			}, 'a peer is asked for a newer configuration');
			send(peer, {kind: 'want', subject: 'configuration'});
		}
	}
}
