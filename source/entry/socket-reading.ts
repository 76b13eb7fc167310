/**
Stops and continues the reading of a socket for whatever reads it.

The HTTP parser has a pause of its own. It fails an assertion, which ends the process, when a
connection ends in such a pause whose answer ends with it. A socket that returns nothing for a while
is no pause to the parser: the end comes after all bytes have been read, as it does otherwise.
*/
import type {Socket} from 'node:net';

/**
One instance a socket, created before anything reads it.

@example
```
const reading = new SocketReading(socket);
reading.pause();
reading.resume();
```
*/
export class SocketReading {
	#isPaused = false;
	readonly #socket: Socket;

	constructor(socket: Socket) {
		this.#socket = socket;
		const read = socket.read.bind(socket);
		// A size of 0 asks for no bytes: the stream itself calls so, to fetch more and to notice the end.
		socket.read = (size?: number): unknown => this.#isPaused && size === undefined ? null : read(size);
	}

	pause(): void {
		this.#isPaused = true;
	}

	/** Whatever reads the socket goes on later, because this may be called while it handles what it has read. */
	resume(): void {
		this.#isPaused = false;
		setImmediate(() => {
			if (!this.#isPaused && !this.#socket.destroyed) {
				this.#socket.emit('readable');
			}
		});
	}
}
