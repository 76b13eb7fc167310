/**
Where a stand-in listens.
*/
import http from 'node:http';
import type {AddressInfo} from 'node:net';
import {listenOnLoopback} from './listen-on-loopback.js';

/**
An HTTP server on a free port of the loopback address.

@example
```
const server = new LoopbackServer((request, response) => response.end('done'));
await server.start();
```
*/
export class LoopbackServer {
	readonly #server: http.Server;

	constructor(answer: http.RequestListener) {
		this.#server = http.createServer(answer);
		// A stand-in shows all headers that came, however many.
		this.#server.maxHeadersCount = 0;
	}

	/** Known once it has started. */
	get address(): string {
		return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
	}

	async start(): Promise<void> {
		await listenOnLoopback(this.#server);
	}

	/** Breaks off what is open. */
	stop(): void {
		this.#server.closeAllConnections();
		this.#server.close();
	}
}
