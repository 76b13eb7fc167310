/**
One connection to another entry gateway.
*/
import {Packr, Unpackr} from 'msgpackr';
import type {WebSocket} from 'ws';
import type {PeerMessage} from '../generated/peer-messages.js';
import {validatePeerMessages} from '../generated/validators.js';
import {FramedSocket} from '../links/framed-socket.js';

const packr = new Packr({useRecords: false, variableMapSize: true});
const unpackr = new Unpackr({useRecords: false, mapsAsObjects: true});

/** A peer that sends nothing for this long is taken to be gone. */
const silentMilliseconds = 1800;
const checkMilliseconds = 300;
/** Bytes that wait for a slow peer before the link is given up. */
const mostWaitingBytes = 2_097_152;

type LinkHandlers = {readonly onMessage: (message: PeerMessage) => void; readonly onClosed: (reason: string) => void; readonly now: () => number};

const decode = (data: Uint8Array): PeerMessage | undefined => {
	try {
		const value: unknown = unpackr.unpack(data);
		return validatePeerMessages(value) ? value as PeerMessage : undefined;
	} catch {
		// The caller closes the link and logs why.
		return undefined;
	}
};

/**
Frames and checks messages; a frame that is not a message closes the link.

@example
```
const link = new PeerLink(socket, {onMessage, onClosed, now: clock});
link.send({kind: 'hello', name, incarnation, address});
```
*/
export class PeerLink {
	#heardAt: number;
	readonly #socket: FramedSocket;
	readonly #handlers: LinkHandlers;

	constructor(socket: WebSocket, readonly isDialled: boolean, handlers: LinkHandlers) {
		this.#handlers = handlers;
		this.#heardAt = handlers.now();
		this.#socket = new FramedSocket(socket, {
			onFrame: frame => {
				this.#receive(frame);
			},
			onClosed: handlers.onClosed,
			checkHealth: () => {
				if (handlers.now() - this.#heardAt > silentMilliseconds) {
					this.close('silent');
				}
			},
			checkMilliseconds,
		});
	}

	get isClosed(): boolean {
		return this.#socket.isClosed;
	}

	send(message: PeerMessage): void {
		if (!this.#socket.canSend) {
			return;
		}

		if (this.#socket.bufferedBytes > mostWaitingBytes) {
			this.close('does not read');
			return;
		}

		this.#socket.send(packr.pack(message));
	}

	close(reason: string): void {
		this.#socket.close(reason);
	}

	#receive(data: Uint8Array): void {
		this.#heardAt = this.#handlers.now();
		const message = decode(data);
		if (message === undefined) {
			this.close('6002 malformed frame');
			return;
		}

		this.#handlers.onMessage(message);
	}
}
