/**
What entry gateways tell each other, and what they make of it.

Digests are short and go out often; whole configurations and lists go only to a
peer that lacks them and cannot read them from the store itself.
*/
import type {PeerMessage} from '../generated/peer-messages.js';
import type {ConfigurationInForce} from '../decisions/entry/configuration-in-force.js';
import type {FleetConfiguration} from '../fleet/fleet-configuration.js';
import type {TargetRecord} from '../fleet/target-record.js';
import type {EntryContext} from './entry-context.js';
import type {Peers} from './peers.js';
import type {ReadGrants} from './read-grants.js';

const digestMilliseconds = 200;
const soonMilliseconds = 25;
/** Addresses and leaving targets change seldom, so only some digests carry them. */
const fullMilliseconds = 1000;
/** Digests without news between two that are sent all the same. */
const quietDigests = 2;
/** How long a peer may lag behind before it is sent a configuration that it could read itself. */
const lagMilliseconds = 1200;
/** A store that was read this long ago is taken as out of reach. */
const storeMilliseconds = 1500;

type ExchangeOptions = {
	readonly context: EntryContext;
	readonly peers: Peers;
	readonly inForce: ConfigurationInForce;
	/** When the store last answered. */
	readonly storeReadAt: () => number;
	/** Engines that this gateway follows. */
	readonly followed: () => readonly string[];
	readonly grants: ReadGrants;
	readonly onConfiguration: (configuration: FleetConfiguration, peer: string) => void;
	readonly onTargets: (targets: readonly TargetRecord[], peer: string) => void;
};

type Digest = Extract<PeerMessage, {kind: 'digest'}>;

type PeerState = {laggingSince: number | undefined; toldTargets: string};

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
	#timer: NodeJS.Timeout | undefined;
	#lastDigest = '';
	#quiet = 0;
	#fullAt = Number.NEGATIVE_INFINITY;
	#soon: NodeJS.Timeout | undefined;

	constructor(options: ExchangeOptions) {
		this.#options = options;
	}

	get hasStore(): boolean {
		return this.#options.context.now() - this.#options.storeReadAt() < storeMilliseconds;
	}

	start(): void {
		this.#timer = setInterval(() => {
			this.#tell();
		}, digestMilliseconds);
	}

	stop(): void {
		clearInterval(this.#timer);
		clearTimeout(this.#soon);
	}

	/** Tells peers at once, as a leaving target or a new configuration must not wait. */
	tellNow(): void {
		this.#lastDigest = '';
		this.#fullAt = Number.NEGATIVE_INFINITY;
		this.#tell();
	}

	/** Tells peers within a few milliseconds, many news at once. */
	tellSoon(): void {
		this.#soon ??= setTimeout(() => {
			this.#soon = undefined;
			this.#tell();
		}, soonMilliseconds);
	}

	receive(peer: string, message: PeerMessage): void {
		switch (message.kind) {
			case 'hello': {
				this.#states.set(peer, {laggingSince: undefined, toldTargets: ''});
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

			case 'configuration': {
				this.#options.onConfiguration(message.configuration as unknown as FleetConfiguration, peer);
				return;
			}

			case 'targets': {
				if (!this.hasStore) {
					this.#options.onTargets(message.targets.map(target => ({...target, role: target.role})), peer);
				}
			}
		}
	}

	lost(peer: string): void {
		this.#states.delete(peer);
		this.#options.context.book.forgetPeer(peer);
	}

	#digest({sent, told}: ReturnType<EntryContext['kept']['takeNews']>, isFull: boolean, isWhole: boolean): Digest {
		const {context, peers, inForce} = this.#options;
		const own = context.book.own();
		const followed = this.#options.followed();
		const rows = new Map(followed.map((engine, row) => [engine, row]));
		const heard = told.filter(({engine}) => rows.has(engine));
		return {
			kind: 'digest',
			configurationVersion: inForce.version,
			hasStore: this.hasStore,
			leaving: isFull ? [...context.beliefs.leaving()] : [],
			peers: isFull ? [...peers.addresses] : [],
			sent: {engines: sent.map(({engine}) => engine), parts: sent.map(({part}) => part), tokens: sent.map(({tokens}) => tokens)},
			told: {
				engines: [...followed], rows: heard.map(({engine}) => rows.get(engine)!), parts: heard.map(({part}) => part), tokens: heard.map(({tokens}) => tokens), isWhole,
			},
			outstanding: {ids: own.map(({id}) => id), attempts: own.map(({attempts}) => attempts), readMilliseconds: own.map(({readMilliseconds}) => readMilliseconds)},
		};
	}

	#tell(): void {
		const now = this.#options.context.now();
		const isFull = now - this.#fullAt >= fullMilliseconds;
		this.#fullAt = isFull ? now : this.#fullAt;
		const digest = this.#digest(this.#options.context.kept.takeNews(), isFull, false);
		const text = JSON.stringify(digest);
		this.#quiet = text === this.#lastDigest ? this.#quiet + 1 : 0;
		if (this.#quiet % (quietDigests + 1) === 0) {
			this.#lastDigest = text;
			this.#options.peers.broadcast(digest);
		}
	}

	#hearDigest(peer: string, digest: Digest): void {
		const {context, peers, inForce} = this.#options;
		const now = context.now();
		const {ids, attempts, readMilliseconds} = digest.outstanding;
		context.book.hearPeer(peer, ids.map((id, index) => ({id, attempts: attempts[index] ?? 0, readMilliseconds: readMilliseconds[index] ?? 0})), now);
		this.#hearSent(digest.sent, now);
		this.#hearTold(digest.told, now);
		peers.hear(digest.peers);
		for (const incarnation of digest.leaving) {
			if (context.beliefs.markLeaving(incarnation, now)) {
				context.metrics.count('target.leaving.peer');
				context.log.info({
					event: 'target leaving', target: incarnation, source: 'peer', peer,
				}, 'target leaving');
			}
		}

		this.#help(peer, digest, inForce, now);
	}

	#hearSent({engines, parts, tokens}: Digest['sent'], now: number): void {
		const {kept} = this.#options.context;
		const known = this.#knownTargets();
		for (const [index, engine] of engines.entries()) {
			if (known.has(engine)) {
				kept.hearSent({engine, part: parts[index] ?? '', tokens: tokens[index] ?? 0}, now);
			}
		}
	}

	#hearTold({engines, rows, parts, tokens, isWhole}: Digest['told'], now: number): void {
		const {kept} = this.#options.context;
		const known = this.#knownTargets();
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

	#knownTargets(): ReadonlySet<string> {
		return new Set(this.#options.context.beliefs.all().map(({incarnation}) => incarnation));
	}

	/** Sends a peer what it lacks. */
	#help(peer: string, digest: Digest, inForce: ConfigurationInForce, now: number): void {
		const {context, peers} = this.#options;
		const state = this.#states.get(peer) ?? {laggingSince: undefined, toldTargets: ''};
		this.#states.set(peer, state);
		const isLagging = inForce.current !== undefined && digest.configurationVersion < inForce.version;
		state.laggingSince = isLagging ? state.laggingSince ?? now : undefined;
		if (isLagging && (!digest.hasStore || now - (state.laggingSince ?? now) > lagMilliseconds)) {
			state.laggingSince = now;
			peers.send(peer, {kind: 'configuration', configuration: inForce.current as unknown as Extract<PeerMessage, {kind: 'configuration'}>['configuration']});
		}

		const targets = context.beliefs.all();
		const text = JSON.stringify(targets);
		if (!digest.hasStore && this.hasStore && text !== state.toldTargets) {
			state.toldTargets = text;
			peers.send(peer, {kind: 'targets', targets: targets.map(target => ({...target}))});
		} else if (digest.hasStore) {
			state.toldTargets = '';
		}
	}
}
