/**
Maintains the links between this entry gateway and its peers, the other entry gateways.

Over these links, gateways exchange their configurations, the targets that leave, and
the requests that each of them has outstanding.
*/
import {WebSocket, WebSocketServer} from 'ws';
import type {Logger} from 'roarr';
import type {FleetView} from '../decisions/limits/fleet-view.js';
import type {PeerMessage} from '../generated/peer-messages.js';
import type {EntryMetrics} from './entry-metrics.js';
import type {LoopActivity} from './loop-activity.js';
import {PeerLink} from './peer-link.js';

type Peer = {readonly name: string; readonly incarnation: string; readonly address: string; readonly availabilityZone: string; readonly linkMegabits: number; readonly link: PeerLink};

type PeersOptions = {
	readonly name: string;
	readonly incarnation: string;
	readonly availabilityZone: string;
	readonly linkMegabits: number;
	readonly address: {readonly host: string; readonly port: number};
	readonly seeds: () => readonly string[];
	readonly onMessage: (peer: string, message: PeerMessage) => void;
	readonly onLost: (peer: string) => void;
	readonly metrics: EntryMetrics;
	readonly log: Logger;
	readonly activity: LoopActivity;
	readonly now: () => number;
};

const dialIntervalMilliseconds = 700;
const dialTimeoutMilliseconds = 1500;
const maxFrameBytes = 4_194_304;
/** A reported address is removed when no peer has reported it again for this long. */
const addressRetentionMilliseconds = 60_000;

/**
Keeps one link to each gateway that can be reached.

When two gateways dial each other at the same time, both keep the link that the gateway
with the lower name dialled, so that they agree on one.

@example
```
peers.start();
peers.broadcast(digest);
```
*/
export class Peers {
	readonly #options: PeersOptions;
	readonly #peers = new Map<string, Peer>();
	/** Addresses that peers reported, each with the time of its last report. */
	readonly #knownAddresses = new Map<string, number>();
	readonly #dialling = new Set<string>();
	#server: WebSocketServer | undefined;
	#timer: NodeJS.Timeout | undefined;

	constructor(options: PeersOptions) {
		this.#options = options;
	}

	get #ownAddress(): string {
		return `${this.#options.address.host}:${this.#options.address.port}`;
	}

	get names(): readonly string[] {
		return [...this.#peers.keys()];
	}

	/** The gateways that can be reached, with their availability zones and the bandwidths of their links. */
	get members(): ReadonlyArray<{readonly name: string; readonly availabilityZone: string; readonly linkMegabits: number}> {
		return [...this.#peers.values()].map(({name, availabilityZone, linkMegabits}) => ({name, availabilityZone, linkMegabits}));
	}

	/** Addresses of the gateways that can be reached, this one included. */
	get addresses(): readonly string[] {
		return [this.#ownAddress, ...[...this.#peers.values()].map(({address}) => address)];
	}

	/** The gateways that can be reached, and the addresses at which others may be running. */
	get fleet(): FleetView {
		const linked = [...this.#peers.values()].map(({name, address}) => ({name, address}));
		const reached = new Set(this.addresses);
		const now = this.#options.now();
		const others = new Set([...this.#options.seeds(), ...this.#knownAddresses.keys()].filter(address => !reached.has(address)));
		return {
			own: this.#ownAddress,
			linked,
			unlinked: [...others].map(address => ({address, ageMilliseconds: now - (this.#knownAddresses.get(address) ?? Number.NEGATIVE_INFINITY)})),
		};
	}

	start(): void {
		this.#server = new WebSocketServer({...this.#options.address, perMessageDeflate: false, maxPayload: maxFrameBytes});
		this.#server.on('connection', socket => {
			this.#openLink(socket, false);
		});
		this.#server.on('error', error => {
			this.#options.log.error({event: 'peer port', detail: error.message}, 'server for peers failed');
		});
		this.#dialAll();
		this.#timer = setInterval(() => {
			this.#dialAll();
		}, dialIntervalMilliseconds);
	}

	stop(): void {
		clearInterval(this.#timer);
		for (const {link} of this.#peers.values()) {
			link.close('stopping');
		}

		this.#server?.close();
	}

	/** Adds addresses that a peer reported, to be dialled. */
	addAddresses(addresses: readonly string[]): void {
		for (const address of addresses) {
			this.#knownAddresses.set(address, this.#options.now());
		}
	}

	send(name: string, message: PeerMessage): void {
		this.#peers.get(name)?.link.send(message);
	}

	/** Sends a message to all peers, or to those named. */
	broadcast(message: PeerMessage, names: readonly string[] = this.names): void {
		const frame = PeerLink.encode(message);
		for (const name of names) {
			this.#peers.get(name)?.link.sendEncoded(frame);
		}
	}

	#dialAll(): void {
		const linked = new Set(this.addresses);
		const now = this.#options.now();
		for (const [address, reportedAt] of this.#knownAddresses) {
			if (now - reportedAt > addressRetentionMilliseconds) {
				this.#knownAddresses.delete(address);
			}
		}

		for (const address of new Set([...this.#options.seeds(), ...this.#knownAddresses.keys()])) {
			if (!linked.has(address) && !this.#dialling.has(address)) {
				this.#dial(address);
			}
		}
	}

	#dial(address: string): void {
		this.#dialling.add(address);
		const socket = new WebSocket(`ws://${address}`, {perMessageDeflate: false, handshakeTimeout: dialTimeoutMilliseconds, maxPayload: maxFrameBytes});
		socket.once('open', () => {
			this.#dialling.delete(address);
			this.#openLink(socket, true);
		});
		socket.once('error', error => {
			this.#dialling.delete(address);
			this.#options.log.debug({event: 'peer unreachable', address, detail: error.message}, 'peer cannot be reached');
		});
	}

	#openLink(socket: WebSocket, isDialled: boolean): void {
		const link = new PeerLink(socket, isDialled, {
			onMessage: message => {
				this.#receive(link, message);
			},
			onClosed: reason => {
				this.#removeLink(link, reason);
			},
			onMalformed: bytes => {
				this.#options.metrics.count('peer.malformed-frame');
				this.#options.log.warn({event: 'peer frame malformed', peer: this.#peerOf(link)?.name ?? '', bytes}, 'frame of a peer is no message and is left out');
			},
			activity: this.#options.activity,
			now: this.#options.now,
		});
		link.send({
			kind: 'hello', name: this.#options.name, incarnation: this.#options.incarnation, address: this.#ownAddress,
			availabilityZone: this.#options.availabilityZone, linkMegabits: this.#options.linkMegabits,
		});
	}

	#receive(link: PeerLink, message: PeerMessage): void {
		if (message.kind === 'hello') {
			this.#handleHello(link, message);
			return;
		}

		const peer = this.#peerOf(link);
		if (peer !== undefined) {
			this.#options.onMessage(peer.name, message);
		}
	}

	#peerOf(link: PeerLink): Peer | undefined {
		return [...this.#peers.values()].find(candidate => candidate.link === link);
	}

	#handleHello(link: PeerLink, hello: Extract<PeerMessage, {kind: 'hello'}>): void {
		if (hello.incarnation === this.#options.incarnation) {
			link.close('own address');
			return;
		}

		const previous = this.#peers.get(hello.name);
		const isPreferred = link.isDialled === (this.#options.name < hello.name);
		if (previous !== undefined && !previous.link.isClosed && previous.incarnation === hello.incarnation && !isPreferred) {
			link.close('second link');
			return;
		}

		this.#peers.set(hello.name, {...hello, link});
		previous?.link.close('replaced');
		if (previous?.incarnation !== hello.incarnation) {
			this.#options.log.info({event: 'peer found', peer: hello.name, address: hello.address}, 'peer found');
		}

		this.#options.onMessage(hello.name, hello);
	}

	#removeLink(link: PeerLink, reason: string): void {
		const peer = this.#peerOf(link);
		if (peer === undefined) {
			return;
		}

		this.#peers.delete(peer.name);
		// It may still be running, out of reach.
		this.#knownAddresses.set(peer.address, this.#options.now());
		this.#options.log.warn({
			event: 'peer lost', peer: peer.name, address: peer.address, reason,
		}, 'peer lost');
		this.#options.onLost(peer.name);
	}
}
