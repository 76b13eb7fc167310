/**
One gateway in virtual time, with peers that say only what a test has them say.
*/
import {hashTargetList} from '../../source/decisions/entry/targets/hash-target-list.js';
import {StoreFeed} from '../../source/decisions/entry/store/store-feed.js';
import type {TargetRecord} from '../../source/fleet/target-record.js';
import type {PeerMessage} from '../../source/generated/peer-messages.js';
import {VirtualGateway} from './virtual-gateway.js';
import {VirtualLinks} from './virtual-links.js';
import {VirtualStore} from './virtual-store.js';
import {VirtualTime} from './virtual-time.js';

type Digest = Extract<PeerMessage, {kind: 'digest'}>;

const names: readonly string[] = Array.from({length: 9}, (_, index) => `gateway-${index}`);

const linkMegabits = 1000;

const readerOf = (name: string): string => {
	const feed = new StoreFeed({name, linkMegabits});
	feed.update(names.filter(other => other !== name).map(other => ({name: other, linkMegabits})));
	return feed.reader;
};

/** Replaced when the message is sent. */
const noEcho = {sentAt: 0, heldMilliseconds: 0};

/** A gateway that relies on another one's readings. */
const own = names.find(name => readerOf(name) !== '')!;
const reader = readerOf(own);

/**
The gateway `own`, which relies on the peer `reader`.

@example
```
const {time, gateway, say, used} = new LoneGateway();
await time.run(3000);
say(LoneGateway.reader, LoneGateway.listOf([LoneGateway.target('a')], 101));
```
*/
export class LoneGateway {
	static readonly names = names;
	static readonly own = own;
	static readonly reader = reader;

	static readonly target = (id: string): TargetRecord => ({
		id, incarnation: `${id} 1`, bornAt: 1, service: 's', address: `10.1.0.${id.length}:80`, availabilityZone: 'a', isDraining: false, slots: 8, role: 'decode',
	});

	static readonly listOf = (targets: readonly TargetRecord[], revision: number, era = 1): PeerMessage => ({
		kind: 'targets', echo: noEcho, store: '', era, revision, age: 0, targets: targets.map(record => ({...record})),
	});

	static readonly freshOf = (targets: readonly TargetRecord[], revision: number, era = 1): PeerMessage => ({
		kind: 'fresh', echo: noEcho, store: '', storeAge: 0, configurationVersion: 1, era, revision, listName: hashTargetList(targets),
	});

	/** A digest of a peer that knows nothing but what is given. */
	static readonly digestOf = (more: Partial<Digest> = {}): PeerMessage => ({
		kind: 'digest',
		sentAt: 0,
		configurationVersion: 0,
		store: '',
		storeEra: 1,
		sinceRestore: 3_600_000,
		storeAge: 60_000,
		reader: 'gateway-unknown',
		isFed: false,
		leaving: [],
		gone: {
			incarnations: [], eras: [], revisions: [], ages: [],
		},
		peers: [],
		outstanding: {ids: [], attempts: [], readMilliseconds: []},
		sent: {engines: [], parts: [], tokens: []},
		told: {
			engines: [], rows: [], parts: [], tokens: [], isWhole: false,
		},
		...more,
	});

	readonly time = new VirtualTime();
	readonly store = new VirtualStore(this.time);
	/** What the reader was sent. */
	readonly heard: PeerMessage[] = [];
	readonly gateway: VirtualGateway;
	readonly #links = new VirtualLinks(this.time);
	/** The last digest that each peer has received from the gateway, and when. */
	readonly #digests = new Map<string, {readonly sentAt: number; readonly receivedAt: number}>();

	constructor() {
		for (const name of names.filter(other => other !== own)) {
			this.#addPeer(name);
		}

		this.gateway = new VirtualGateway({
			name: own, incarnation: 1, time: this.time, store: this.store, links: this.#links, random: () => 0.5,
		});
	}

	/** Sends a message with the echo that the peer would send. */
	readonly say = (peer: string, message: PeerMessage): void => {
		const {sentAt, receivedAt} = this.#digests.get(peer) ?? {sentAt: 0, receivedAt: 0};
		const echo = {sentAt, heldMilliseconds: Math.floor(this.time.now - receivedAt)};
		this.#links.send(peer, own, 'echo' in message ? {...message, echo} : message);
	};

	readonly used = (): readonly string[] => this.gateway.beliefs.usable('s').map(({id}) => id);

	#addPeer(name: string): void {
		this.#links.add({
			name,
			incarnation: name,
			receive: (_, message) => {
				if (message.kind === 'digest') {
					this.#digests.set(name, {sentAt: message.sentAt, receivedAt: this.time.now});
				}

				if (name === reader) {
					this.heard.push(message);
				}
			},
			lost: () => undefined,
			run(act) {
				act();
			},
			isAway: () => false,
			delay: () => 0,
			cutUntil: () => 0,
		}, 0);
		// Something is heard of each all the time, so that links stay.
		this.time.every(500, () => {
			this.say(name, {
				kind: 'answer', number: 0, isGranted: true, waitingMilliseconds: 0,
			});
		});
	}
}
