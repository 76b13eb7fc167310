/**
Connection between two processes of the system.

It encodes and decodes messages, validates what it receives, and sends heartbeats. An
invalid frame closes the connection; the peer then opens a new one and resumes its
streams there.
*/
import type {WebSocket} from 'ws';
import type {Message} from '../generated/messages.js';
import {nextLinkAction} from '../decisions/links/next-link-action.js';
import {clock} from '../shared/clock.js';
import {decodeMessage} from './decode-message.js';
import {encodeMessage} from './encode-message.js';
import {FramedSocket} from './framed-socket.js';

const checkMilliseconds = 250;

type LinkHandlers = {
	readonly onMessage: (message: Message) => void;
	readonly onClosed: (reason: string) => void;
	/** True for a link that stays open while it is idle. */
	readonly isKeptOpen: () => boolean;
	/** True while attempts are in progress over the link. */
	readonly hasWork: () => boolean;
	/** Called with the size of each frame, for metrics. */
	readonly onBytes?: (direction: 'sent' | 'received', bytes: number) => void;
};

/**
Wraps an open WebSocket.

@example
```
const link = new Link(socket, {onMessage, onClosed, isKeptOpen: () => false, hasWork: () => live.size > 0});
link.send({kind: 'heartbeat'});
```
*/
export class Link {
	#lastSentAt = clock();
	#lastReceivedAt = clock();
	#lastUsedAt = clock();
	#busySince: number | undefined;
	readonly #socket: FramedSocket;
	readonly #handlers: LinkHandlers;

	constructor(socket: WebSocket, handlers: LinkHandlers) {
		this.#handlers = handlers;
		this.#socket = new FramedSocket(socket, {
			onFrame: frame => {
				this.#receive(frame);
			},
			onClosed: handlers.onClosed,
			checkHealth: () => {
				this.#checkHealth();
			},
			checkMilliseconds,
		});
	}

	get isOpen(): boolean {
		return !this.#socket.isClosed;
	}

	/** Sends a message. Returns false if the connection is not open and nothing was sent. */
	send(message: Message): boolean {
		if (!this.#socket.canSend) {
			return false;
		}

		const frame = encodeMessage(message);
		this.#lastSentAt = clock();
		this.#lastUsedAt = message.kind === 'heartbeat' ? this.#lastUsedAt : this.#lastSentAt;
		this.#handlers.onBytes?.('sent', frame.byteLength);
		this.#socket.send(frame);
		return true;
	}

	/** Closes the connection immediately. Streams in progress resume on another connection. */
	close(reason: string): void {
		this.#socket.close(reason);
	}

	#receive(data: Uint8Array): void {
		if (this.#socket.isClosed) {
			return;
		}

		this.#lastReceivedAt = clock();
		this.#handlers.onBytes?.('received', data.byteLength);
		decodeMessage(data).match(message => {
			if (message.kind !== 'heartbeat') {
				this.#lastUsedAt = this.#lastReceivedAt;
				this.#handlers.onMessage(message);
			}
		}, reason => {
			this.close(`6002 malformed frame: ${reason}`);
		});
	}

	#checkHealth(): void {
		const now = clock();
		this.#busySince = this.#handlers.hasWork() ? this.#busySince ?? now : undefined;
		const action = nextLinkAction({
			now,
			lastSentAt: this.#lastSentAt,
			lastReceivedAt: this.#lastReceivedAt,
			lastUsedAt: this.#lastUsedAt,
			keepOpen: this.#handlers.isKeptOpen(),
			busySince: this.#busySince,
		});
		switch (action) {
			case 'replace': {
				this.close('silent');
				break;
			}

			case 'close idle': {
				this.close('idle');
				break;
			}

			case 'send heartbeat': {
				this.send({kind: 'heartbeat'});
				break;
			}

			case 'none': {
				break;
			}
		}
	}
}
