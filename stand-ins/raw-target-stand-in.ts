/**
Stand-in of a target whose answers a test writes byte by byte, without an HTTP library between.
*/
import {Buffer} from 'node:buffer';
import net, {type AddressInfo} from 'node:net';
import {listenOnLoopback} from './listen-on-loopback.js';
import {targetEntry} from './target-entry.js';

type RawRequest = {
	readonly requestId: string;
	readonly method: string;
	readonly path: string;
	readonly headers: Readonly<Record<string, string>>;
	/** Number of the connection on which it came, from 1. */
	readonly connection: number;
};

type RawHead = {
	readonly status: string;
	/** Left out of the answer when undefined. */
	readonly requestId: string | undefined;
	readonly headers?: readonly string[];
	readonly body?: string;
};

type RawAnswer = (socket: net.Socket, request: RawRequest, count: number) => void;

const headEnd = '\r\n\r\n';

const parseHead = (head: string): Omit<RawRequest, 'connection'> => {
	const [start = '', ...lines] = head.split('\r\n');
	const [method = '', path = ''] = start.split(' ');
	const headers = Object.fromEntries(lines.map(line => {
		const separator = line.indexOf(':');
		return [line.slice(0, separator).toLowerCase(), line.slice(separator + 1).trim()];
	}));
	return {
		requestId: headers['x-request-id'] ?? '', method, path, headers,
	};
};

const reportBody = JSON.stringify({
	epoch: 1, next: 0, lost: false, events: [], held: [],
});

/**
Reads requests with a length, one after the other on each connection, and has the test answer them.

Questions on the cache of an engine are answered soundly after their wait, unless `cacheAnswer` is set.

@example
```
const target = new RawTargetStandIn('i-1', (socket, {requestId}) => {
	socket.write(RawTargetStandIn.answer({status: '200 OK', requestId, body: 'done'}));
});
await target.start();
```
*/
export class RawTargetStandIn {
	/** An answer with a length; signed like a target's own when it has an id and succeeds. */
	static answer({status, requestId, headers = [], body = ''}: RawHead): string {
		const lines = [
			`HTTP/1.1 ${status}`,
			...requestId === undefined ? [] : [`X-Request-Id: ${requestId}`],
			...status.startsWith('2') ? ['X-Response-Signature: proof'] : [],
			...headers,
			`Content-Length: ${Buffer.byteLength(body)}`,
		];
		return `${lines.join('\r\n')}${headEnd}${body}`;
	}

	/** Requests in the order of their arrival, without questions on the cache. */
	readonly arrivals: RawRequest[] = [];
	/** Connections that are closed, by number. */
	readonly closed = new Set<number>();
	cacheAnswer: RawAnswer | undefined;
	#connections = 0;
	readonly #sockets = new Set<net.Socket>();
	readonly #server = net.createServer(socket => {
		this.#accept(socket);
	});

	constructor(readonly id: string, public answer: RawAnswer) {}

	get address(): string {
		return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
	}

	async start(): Promise<void> {
		await listenOnLoopback(this.#server);
	}

	stop(): void {
		for (const socket of this.#sockets) {
			socket.destroy();
		}

		this.#server.close();
	}

	/** The entry of this target in the platform's list. */
	entry(service: string, more: Readonly<Record<string, unknown>> = {}): string {
		return targetEntry({address: this.address, service}, more);
	}

	#accept(socket: net.Socket): void {
		this.#connections++;
		const connection = this.#connections;
		this.#sockets.add(socket);
		let pending = '';
		socket.on('error', () => {
			// The gateway has closed the connection.
		});
		socket.on('close', () => {
			this.#sockets.delete(socket);
			this.closed.add(connection);
		});
		socket.on('data', data => {
			pending = this.#takeRequests(pending + data.toString('latin1'), socket, connection);
		});
	}

	/** Handles each request that has arrived whole, and returns what is left. */
	#takeRequests(text: string, socket: net.Socket, connection: number): string {
		const headLength = text.indexOf(headEnd);
		if (headLength === -1) {
			return text;
		}

		const request = {...parseHead(text.slice(0, headLength)), connection};
		const end = headLength + headEnd.length + Number(request.headers['content-length'] ?? 0);
		if (text.length < end) {
			return text;
		}

		this.#receive(socket, request);
		return this.#takeRequests(text.slice(end), socket, connection);
	}

	#receive(socket: net.Socket, request: RawRequest): void {
		if (request.path.startsWith('/v1/kv-')) {
			this.#answerQuestion(socket, request);
			return;
		}

		this.arrivals.push(request);
		this.answer(socket, request, this.arrivals.length);
	}

	#answerQuestion(socket: net.Socket, request: RawRequest): void {
		if (this.cacheAnswer !== undefined) {
			this.cacheAnswer(socket, request, 0);
			return;
		}

		const timer = setTimeout(() => {
			socket.write(RawTargetStandIn.answer({
				status: '200 OK', requestId: undefined, headers: ['Content-Type: application/json'], body: reportBody,
			}));
		}, Number(request.headers['wait-ms'] ?? 0));
		socket.once('close', () => {
			clearTimeout(timer);
		});
	}
}
