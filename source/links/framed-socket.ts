/**
What every link does with its socket, whatever it sends: frames come in, a check
runs on a timer, and it ends once.
*/
import type {WebSocket} from 'ws';

type SocketHandlers = {
	readonly onFrame: (frame: Uint8Array) => void;
	readonly onClosed: (reason: string) => void;
	readonly check: () => void;
	readonly checkMilliseconds: number;
};

/**
Invariant: `onClosed` is called once, and the check no more after it.

@example
```
const framed = new FramedSocket(socket, {onFrame, onClosed, check, checkMilliseconds: 250});
framed.close('idle');
```
*/
export class FramedSocket {
	#isClosed = false;
	readonly #socket: WebSocket;
	readonly #onClosed: (reason: string) => void;
	readonly #timer: NodeJS.Timeout;

	constructor(socket: WebSocket, {onFrame, onClosed, check, checkMilliseconds}: SocketHandlers) {
		this.#socket = socket;
		this.#onClosed = onClosed;
		this.#timer = setInterval(check, checkMilliseconds);
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

	/** True while frames can be handed over. */
	get canSend(): boolean {
		return !this.#isClosed && this.#socket.readyState === this.#socket.OPEN;
	}

	/** Bytes that the peer has not taken yet. */
	get waitingBytes(): number {
		return this.#socket.bufferedAmount;
	}

	send(frame: Uint8Array): void {
		this.#socket.send(frame);
	}

	/** Ends the connection at once. */
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
