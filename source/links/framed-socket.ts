/**
WebSocket with a periodic health check and a single close notification. Every link uses
it, whatever the format of its messages.
*/
import type {WebSocket} from 'ws';

type SocketHandlers = {
	readonly onFrame: (frame: Uint8Array) => void;
	readonly onClosed: (reason: string) => void;
	/** Called every `checkMilliseconds` until the socket is closed. */
	readonly checkHealth: () => void;
	readonly checkMilliseconds: number;
};

/**
Invariant: `onClosed` is called once, and `checkHealth` is not called after it.

@example
```
const framed = new FramedSocket(socket, {onFrame, onClosed, checkHealth, checkMilliseconds: 250});
framed.close('idle');
```
*/
export class FramedSocket {
	#isClosed = false;
	readonly #socket: WebSocket;
	readonly #onClosed: (reason: string) => void;
	readonly #timer: NodeJS.Timeout;

	constructor(socket: WebSocket, {onFrame, onClosed, checkHealth, checkMilliseconds}: SocketHandlers) {
		this.#socket = socket;
		this.#onClosed = onClosed;
		this.#timer = setInterval(checkHealth, checkMilliseconds);
		socket.on('message', (frame: Uint8Array) => {
			onFrame(frame);
		});
		socket.on('close', () => {
			this.close('closed by the peer');
		});
		socket.on('error', error => {
			this.close(error.message);
		});
	}

	get isClosed(): boolean {
		return this.#isClosed;
	}

	/** True while the socket accepts frames. */
	get canSend(): boolean {
		return !this.#isClosed && this.#socket.readyState === this.#socket.OPEN;
	}

	/** Bytes that are queued and not yet sent to the peer. */
	get bufferedBytes(): number {
		return this.#socket.bufferedAmount;
	}

	send(frame: Uint8Array): void {
		this.#socket.send(frame);
	}

	/** Closes the connection immediately, without a closing handshake. */
	close(reason: string): void {
		if (this.#isClosed) {
			return;
		}

		this.#isClosed = true;
		clearInterval(this.#timer);
		this.#socket.terminate();
		this.#onClosed(reason);
	}
}
