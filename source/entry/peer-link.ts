/**
Sends and receives messages over one WebSocket connection to another entry gateway.
*/
import {Packr, Unpackr} from 'msgpackr';
import type {WebSocket} from 'ws';
import type {PeerMessage} from '../generated/peer-messages.js';
import {validatePeerMessages} from '../generated/validators.js';
import {FramedSocket} from '../links/framed-socket.js';
import type {LoopActivity} from './loop-activity.js';

const packr = new Packr({useRecords: false, variableMapSize: true});
const unpackr = new Unpackr({useRecords: false, mapsAsObjects: true});

/** The link is closed when nothing was received from the peer for this long. */
const receiveTimeoutMilliseconds = 1800;
const checkMilliseconds = 300;
/** The link is closed when so many frames one after another are no messages: one alone costs what it says only. */
const maxMalformedFrames = 8;
/** The link is closed when more bytes than this are queued for a slow peer. */
const maxBufferedBytes = 2_097_152;

type LinkHandlers = {
	readonly onMessage: (message: PeerMessage) => void;
	readonly onClosed: (reason: string) => void;
	/** Called for each frame that is not a valid message and is left out. */
	readonly onMalformed: (bytes: number) => void;
	readonly activity: LoopActivity;
	readonly now: () => number;
};

const decode = (data: Uint8Array): PeerMessage | undefined => {
	try {
		const value: unknown = unpackr.unpack(data);
		return validatePeerMessages(value) ? value as PeerMessage : undefined;
	} catch {
		// The caller counts it, and logs why it closes the link.
		return undefined;
	}
};

/**
Encodes, decodes and validates messages. A frame that is not a valid message is left out; several one after another close the link.

@example
```
const link = new PeerLink(socket, true, {onMessage, onClosed, onMalformed, activity, now: clock});
link.send({kind: 'hello', name, incarnation, address});
```
*/
export class PeerLink {
	/** Encodes a message once for all links that it is sent over. */
	static encode(message: PeerMessage): Uint8Array {
		return packr.pack(message);
	}

	#receivedAt: number;
	/** Frames that were no messages since the last one that was. */
	#malformedFrames = 0;
	readonly #socket: FramedSocket;
	readonly #handlers: LinkHandlers;

	constructor(socket: WebSocket, readonly isDialled: boolean, handlers: LinkHandlers) {
		this.#handlers = handlers;
		this.#receivedAt = handlers.now();
		this.#socket = new FramedSocket(socket, {
			onFrame: frame => {
				this.#receive(frame);
			},
			onClosed: handlers.onClosed,
			checkHealth: () => {
				if (handlers.now() - this.#receivedAt > receiveTimeoutMilliseconds) {
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
		this.sendEncoded(PeerLink.encode(message));
	}

	sendEncoded(frame: Uint8Array): void {
		if (!this.#socket.canSend) {
			return;
		}

		if (this.#socket.bufferedBytes > maxBufferedBytes) {
			this.close('does not read');
			return;
		}

		this.#socket.send(frame);
	}

	close(reason: string): void {
		this.#socket.close(reason);
	}

	#receive(data: Uint8Array): void {
		const {activity, now, onMessage} = this.#handlers;
		this.#receivedAt = now();
		const message = activity.measure('decoding a peer message', data.byteLength, () => decode(data));
		if (message === undefined) {
			this.#handleMalformed(data.byteLength);
			return;
		}

		this.#malformedFrames = 0;
		activity.measure(`peer message ${message.kind}`, data.byteLength, () => {
			onMessage(message);
		});
	}

	#handleMalformed(bytes: number): void {
		this.#malformedFrames++;
		this.#handlers.onMalformed(bytes);
		if (this.#malformedFrames >= maxMalformedFrames) {
			this.close('6002 malformed frames');
		}
	}
}
