/**
Knows which connections of callers have nothing in progress, so that a planned stop closes only those.

Node.js counts a connection as idle as soon as its answer has been ended, although bytes of it
may still wait for a caller that reads slowly.
*/
import type {Socket} from 'node:net';

type Connection = {
	/** Requests on it whose answer has not been handed over completely. */
	open: number;
	/** Bytes that had been read from it when its last answer had been handed over. */
	bytesRead: number;
};

/**
One instance a server. A connection that has not brought a request yet is none of its business.

@example
```
connections.begin(socket);
connections.end(socket);
connections.closeIdle(); // closes it, unless the next request has begun to arrive
```
*/
export class CallerConnections {
	readonly #connections = new Map<Socket, Connection>();

	/** Records that a request has arrived. */
	begin(socket: Socket): void {
		const connection = this.#connections.get(socket) ?? this.#add(socket);
		connection.open++;
	}

	/** Records that the answer to a request has been handed over, or given up. */
	end(socket: Socket): void {
		const connection = this.#connections.get(socket);
		if (connection !== undefined) {
			connection.open--;
			connection.bytesRead = socket.bytesRead;
		}
	}

	closeIdle(): void {
		const idle = [...this.#connections].filter(([{bytesRead}, connection]) => connection.open === 0 && connection.bytesRead === bytesRead);
		for (const [socket] of idle) {
			socket.destroy();
		}
	}

	#add(socket: Socket): Connection {
		const connection = {open: 0, bytesRead: 0};
		this.#connections.set(socket, connection);
		socket.once('close', () => {
			this.#connections.delete(socket);
		});
		return connection;
	}
}
