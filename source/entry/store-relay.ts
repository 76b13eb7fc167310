/**
Relays data from the store between gateways: lists of targets, and configurations.

Both are large. They are sent at each change to the gateways that this one feeds (its
dependents), lists also to peers that cannot read the store. Any other peer has to
request them. At every tick, only a short freshness report is sent: which version and
which list are in force here, and when the store was last read.
*/
import {ConfigurationPeerSelector} from '../decisions/entry/store/configuration-peer-selector.js';
import {earliestSendTime} from '../decisions/entry/store/earliest-send-time.js';
import {isOlderPosition} from '../decisions/entry/store/is-older-position.js';
import type {FleetConfiguration} from '../fleet/fleet-configuration.js';
import type {PeerMessage} from '../generated/peer-messages.js';
import type {EntryContext} from './entry-context.js';
import type {FleetState} from './fleet-state.js';
import {targetListStatus} from './target-list-status.js';

type Digest = Extract<PeerMessage, {kind: 'digest'}>;
type Fresh = Extract<PeerMessage, {kind: 'fresh'}>;
type Want = Extract<PeerMessage, {kind: 'want'}>;
type Configuration = Extract<PeerMessage, {kind: 'configuration'}>;
type Targets = Extract<PeerMessage, {kind: 'targets'}>;

type StoreRelayOptions = {
	readonly context: EntryContext;
	readonly fleetState: FleetState;
	readonly send: (peer: string, message: PeerMessage) => void;
};

/** A peer's last digest with the time of its arrival, and what the peer was sent unrequested: the version of a configuration, and the hash of a list. */
type PeerState = {readonly digest: Digest; readonly receivedAt: number; sentVersion: number; sentListHash: number | undefined};

/** The store is taken to be out of reach of a gateway that has not read it for this long. */
const storeReachableMilliseconds = 1500;
/** A gateway that has not read the store for this long accepts freshness reports from any peer; peers send it theirs unless it is fed. */
const staleMilliseconds = 1000;
/** Ticks between two requests for targets. */
const ticksPerRequest = 3;
/** Upper bound of the age, and the age of a store that was never read. */
const maxStoreAgeMilliseconds = 3_600_000;

/**
Invariant: no configuration is sent to the same peer twice without a request.

@example
```
relay.handleDigest('gateway-2', digest);
relay.tick();
```
*/
export class StoreRelay {
	readonly #options: StoreRelayOptions;
	readonly #states = new Map<string, PeerState>();
	readonly #peerSelector: ConfigurationPeerSelector;
	#ticks = 0;

	constructor(options: StoreRelayOptions) {
		this.#options = options;
		this.#peerSelector = new ConfigurationPeerSelector(options.context.settings().name);
	}

	/** How many milliseconds ago this gateway read the store itself. */
	get storeAge(): number {
		const {context, fleetState} = this.#options;
		return Math.round(Math.min(maxStoreAgeMilliseconds, context.now() - fleetState.storeReadAt));
	}

	get #isStoreReachable(): boolean {
		return this.storeAge < storeReachableMilliseconds;
	}

	/** Discards the state of a peer that has gone or has restarted. */
	removePeer(peer: string): void {
		this.#states.delete(peer);
	}

	/** Records a peer's digest, and sends the peer what should not wait for its request. */
	handleDigest(peer: string, digest: Digest): void {
		const {sentVersion = 0, sentListHash} = this.#states.get(peer) ?? {};
		const state = {
			digest, receivedAt: this.#options.context.now(), sentVersion, sentListHash,
		};
		this.#states.set(peer, state);
		this.#recordHistory(digest);
		if (!digest.isFed || this.#isDependent(digest)) {
			this.#sendMissing(peer, state);
		}
	}

	/** Immediately sends dependents what they lack. */
	feedDependents(): void {
		for (const [peer, state] of this.#states) {
			if (this.#isDependent(state.digest)) {
				this.#sendMissing(peer, state);
			}
		}
	}

	/** Sends freshness reports to dependents and to peers that cannot read the store, and requests what this gateway lacks. */
	tick(): void {
		const {context, fleetState: {inForce}, send} = this.#options;
		const {targetRegistry} = context;
		for (const [peer, state] of this.#states) {
			const {digest} = state;
			const isStale = !digest.isFed && digest.storeAge >= staleMilliseconds && this.#isStoreReachable;
			if (this.#isDependent(digest) || isStale) {
				send(peer, {
					kind: 'fresh',
					echo: this.#createEcho(state),
					store: context.settings().store.address,
					storeAge: this.storeAge,
					configurationVersion: inForce.version,
					era: targetRegistry.list.era,
					revision: targetRegistry.list.revision,
					listName: targetRegistry.listHash,
				});
			}
		}

		this.#requestConfiguration();
		this.#requestTargets();
	}

	/** Sends what a peer requests. */
	sendRequested(peer: string, {subject}: Want): void {
		switch (subject) {
			case 'targets': {
				this.#sendTargets(peer);
				return;
			}

			case 'configuration': {
				this.#sendConfiguration(peer);
			}
		}
	}

	/**
	Handles a freshness report from this gateway's reader, or from any peer while this
	gateway cannot read the store. The report counts only if it names the list in force
	here; otherwise the list is requested, unless the peer's list is older.
	*/
	handleFresh(peer: string, {echo, store, storeAge, configurationVersion, era, revision, listName}: Fresh): void {
		const {context: {targetRegistry, now}, fleetState, send} = this.#options;
		const isIgnored = peer !== fleetState.feed.reader && this.storeAge < staleMilliseconds;
		if (isIgnored || !this.#isOwnStore(store)) {
			return;
		}

		if (listName !== targetRegistry.listHash || era !== targetRegistry.list.era) {
			if (!isOlderPosition({era, revision}, targetRegistry.list)) {
				send(peer, {kind: 'want', subject: 'targets'});
			}

			return;
		}

		const readAt = earliestSendTime(echo, now()) - storeAge;
		fleetState.feed.confirm(peer, readAt);
		fleetState.confirmTargets(revision, readAt, peer);
		if (fleetState.feed.isFed(now())) {
			fleetState.inForce.confirm(configurationVersion, readAt);
		}
	}

	handleTargets(peer: string, {echo, store, era, revision, age, targets}: Targets): void {
		const {context, fleetState} = this.#options;
		if (!this.#isOwnStore(store)) {
			return;
		}

		const readAt = earliestSendTime(echo, context.now()) - age;
		fleetState.adoptTargets({era, revision, targets: targets.map(target => ({...target, role: target.role}))}, readAt, 'peer', peer);
	}

	handleConfiguration(peer: string, {configuration}: Configuration): void {
		const {context, fleetState} = this.#options;
		fleetState.adoptConfiguration(configuration as unknown as FleetConfiguration, context.now(), 'peer', peer);
	}

	/** True for the address of the store that this gateway reads. Positions in the histories of two stores cannot be compared. */
	#isOwnStore(store: string): boolean {
		return store === this.#options.context.settings().store.address;
	}

	/** Records what a digest says of the store's era and of targets that have gone. */
	#recordHistory({store, storeEra, sinceRestore, gone}: Digest): void {
		const {context: {targetRegistry, now}, fleetState} = this.#options;
		if (!this.#isOwnStore(store)) {
			return;
		}

		fleetState.recordPeerEra(storeEra, sinceRestore);
		for (const [index, incarnation] of gone.incarnations.entries()) {
			const position = {era: gone.eras[index] ?? 0, revision: gone.revisions[index] ?? 0};
			targetRegistry.recordGone(incarnation, position, now(), gone.ages[index] ?? 0);
		}
	}

	/** True when the sender of a digest has this gateway as its reader. */
	#isDependent({reader}: Digest): boolean {
		return reader === this.#options.context.settings().name;
	}

	/** Sends a dependent a newer configuration and a changed list, and a peer that cannot read the store a changed list. */
	#sendMissing(peer: string, state: PeerState): void {
		const {context: {targetRegistry}, fleetState: {inForce}} = this.#options;
		const {digest} = state;
		const isDependent = this.#isDependent(digest);
		if (isDependent && Math.max(digest.configurationVersion, state.sentVersion) < inForce.version) {
			state.sentVersion = inForce.version;
			this.#sendConfiguration(peer);
		}

		if (!isDependent && digest.storeAge < storeReachableMilliseconds) {
			state.sentListHash = undefined;
		} else if (this.#isStoreReachable && state.sentListHash !== targetRegistry.listHash) {
			state.sentListHash = targetRegistry.listHash;
			this.#sendTargets(peer);
		}
	}

	/** Sends a peer the newest list, as the store returned it, unless the peer has sent no digest yet. */
	#sendTargets(peer: string): void {
		const {context, send} = this.#options;
		const {revision, listAge} = targetListStatus(context);
		const state = this.#states.get(peer);
		if (revision > 0 && state !== undefined) {
			const {era, targets} = context.targetRegistry.list;
			send(peer, {
				kind: 'targets',
				echo: this.#createEcho(state),
				store: context.settings().store.address,
				era,
				revision,
				age: listAge,
				targets: targets.map(target => ({...target})),
			});
		}
	}

	/** Returns the time stamp of a peer's last digest, from which the peer bounds the age of a message. */
	#createEcho({digest, receivedAt}: PeerState): Fresh['echo'] {
		return {sentAt: digest.sentAt, heldMilliseconds: Math.max(0, Math.floor(this.#options.context.now() - receivedAt))};
	}

	#sendConfiguration(peer: string): void {
		const {context: {metrics}, fleetState: {inForce: {current}}, send} = this.#options;
		if (current !== undefined) {
			metrics.count('configuration.sent');
			send(peer, {kind: 'configuration', configuration: current as unknown as Configuration['configuration']});
		}
	}

	/** Requests targets from one peer after another while none is known here, as after a start while the store is unavailable. */
	#requestTargets(): void {
		const {context: {targetRegistry}, send} = this.#options;
		const peers = [...this.#states.keys()];
		const peer = peers[Math.floor(this.#ticks / ticksPerRequest) % Math.max(1, peers.length)];
		if (peer !== undefined && this.#ticks % ticksPerRequest === 0 && targetRegistry.all().length === 0) {
			send(peer, {kind: 'want', subject: 'targets'});
		}

		this.#ticks++;
	}

	/** Requests a newer configuration from one peer. */
	#requestConfiguration(): void {
		const {context: {now, log}, fleetState: {feed, inForce}, send} = this.#options;
		const versions = new Map([...this.#states].map(([peer, {digest}]) => [peer, digest.configurationVersion]));
		const isSupplied = this.#isStoreReachable || feed.isFed(now());
		const peer = this.#peerSelector.next({
			version: inForce.version, peers: versions, reader: feed.reader, isSupplied,
		}, now());
		if (peer !== undefined) {
			log.info({
				event: 'configuration asked', peer, version: inForce.version, announced: versions.get(peer), isSupplied,
			}, 'requesting a newer configuration from a peer');
			send(peer, {kind: 'want', subject: 'configuration'});
		}
	}
}
