/**
Links to the other entry gateways, over which they tell each other what they
believe: configuration, leaving targets, and their own work under way.
*/
import {WebSocket, WebSocketServer} from 'ws';
import type {Logger} from 'roarr';
import type {PeerMessage} from '../generated/peer-messages.js';
import {PeerLink} from './peer-link.js';

type Peer = {readonly name: string; readonly incarnation: string; readonly address: string; readonly linkMegabits: number; readonly link: PeerLink};

type PeersOptions = {
	readonly name: string;
	readonly incarnation: string;
	readonly linkMegabits: number;
	readonly address: {readonly host: string; readonly port: number};
	readonly seeds: () => readonly string[];
	readonly onMessage: (peer: string, message: PeerMessage) => void;
	readonly onLost: (peer: string) => void;
	readonly log: Logger;
	readonly now: () => number;
};

const dialEveryMilliseconds = 700;
const dialMilliseconds = 1500;
const mostFrameBytes = 4_194_304;
/** An address that was heard of and does not answer is forgotten after this. */
const forgetMilliseconds = 60_000;

/**
Keeps one link to each gateway that can be reached.

Where both sides dialled at once, the link dialled by the lower name stays, so
that both keep the same one.

@example
```
peers.start();
peers.broadcast(digest);
```
*/
export class Peers {
	readonly #options: PeersOptions;
	readonly #peers = new Map<string, Peer>();
	/** Addresses by the time when they were last heard of. */
	readonly #known = new Map<string, number>();
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

	/** The gateways that can be reached, with what their links carry. */
	get members(): ReadonlyArray<{readonly name: string; readonly linkMegabits: number}> {
		return [...this.#peers.values()].map(({name, linkMegabits}) => ({name, linkMegabits}));
	}

	/** Addresses of the gateways that can be reached, this one included. */
	get addresses(): readonly string[] {
		return [this.#ownAddress, ...[...this.#peers.values()].map(({address}) => address)];
	}

	start(): void {
		this.#server = new WebSocketServer({...this.#options.address, perMessageDeflate: false, maxPayload: mostFrameBytes});
		this.#server.on('connection', socket => {
			this.#greet(socket, false);
		});
		this.#server.on('error', error => {
			this.#options.log.error({event: 'peer port', detail: error.message}, 'peer port failed');
		});
		this.#dialAll();
		this.#timer = setInterval(() => {
			this.#dialAll();
		}, dialEveryMilliseconds);
	}

	stop(): void {
		clearInterval(this.#timer);
		for (const {link} of this.#peers.values()) {
			link.close('stopping');
		}

		this.#server?.close();
	}

	/** Takes addresses that a peer told of. */
	hear(addresses: readonly string[]): void {
		for (const address of addresses) {
			this.#known.set(address, this.#options.now());
		}
	}

	send(name: string, message: PeerMessage): void {
		this.#peers.get(name)?.link.send(message);
	}

	broadcast(message: PeerMessage): void {
		for (const {link} of this.#peers.values()) {
			link.send(message);
		}
	}

	#dialAll(): void {
		const linked = new Set(this.addresses);
		const now = this.#options.now();
		for (const [address, heardAt] of this.#known) {
			if (now - heardAt > forgetMilliseconds) {
				this.#known.delete(address);
			}
		}

		for (const address of new Set([...this.#options.seeds(), ...this.#known.keys()])) {
			if (!linked.has(address) && !this.#dialling.has(address)) {
				this.#dial(address);
			}
		}
	}

	#dial(address: string): void {
		this.#dialling.add(address);
		const socket = new WebSocket(`ws://${address}`, {perMessageDeflate: false, handshakeTimeout: dialMilliseconds, maxPayload: mostFrameBytes});
		socket.once('open', () => {
			this.#dialling.delete(address);
			this.#greet(socket, true);
		});
		socket.once('error', error => {
			this.#dialling.delete(address);
			this.#options.log.debug({event: 'peer unreachable', address, detail: error.message}, 'peer cannot be reached');
		});
	}

	#greet(socket: WebSocket, isDialled: boolean): void {
		const link = new PeerLink(socket, isDialled, {
			onMessage: message => {
				this.#receive(link, message);
			},
			onClosed: reason => {
				this.#forget(link, reason);
			},
			now: this.#options.now,
		});
		link.send({
			kind: 'hello', name: this.#options.name, incarnation: this.#options.incarnation, address: this.#ownAddress, linkMegabits: this.#options.linkMegabits,
		});
	}

	#receive(link: PeerLink, message: PeerMessage): void {
		if (message.kind === 'hello') {
			this.#welcome(link, message);
			return;
		}

		const peer = [...this.#peers.values()].find(candidate => candidate.link === link);
		if (peer !== undefined) {
			this.#options.onMessage(peer.name, message);
		}
	}

	#welcome(link: PeerLink, hello: Extract<PeerMessage, {kind: 'hello'}>): void {
		if (hello.incarnation === this.#options.incarnation) {
			link.close('own address');
			return;
		}

		const former = this.#peers.get(hello.name);
		const isPreferred = link.isDialled === (this.#options.name < hello.name);
		if (former !== undefined && !former.link.isClosed && former.incarnation === hello.incarnation && !isPreferred) {
			link.close('second link');
			return;
		}

		this.#peers.set(hello.name, {...hello, link});
		former?.link.close('replaced');
		if (former?.incarnation !== hello.incarnation) {
			this.#options.log.info({event: 'peer found', peer: hello.name, address: hello.address}, 'peer found');
		}

		this.#options.onMessage(hello.name, hello);
	}

	#forget(link: PeerLink, reason: string): void {
		const peer = [...this.#peers.values()].find(candidate => candidate.link === link);
		if (peer === undefined) {
			return;
		}

		this.#peers.delete(peer.name);
		this.#options.log.warn({
			event: 'peer lost', peer: peer.name, address: peer.address, reason,
		}, 'peer lost');
		this.#options.onLost(peer.name);
	}
}
