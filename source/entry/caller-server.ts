/**
The HTTP server for callers: reads each request completely and passes it to a handler.

It uses Node's HTTP server directly: bodies and request targets are forwarded byte for
byte, so a framework's routing and body parsing would have to be bypassed.
*/
import http from 'node:http';
import type {Socket} from 'node:net';
import {headCost} from '../decisions/callers/head-cost.js';
import {isWellFormedRequest} from '../decisions/entry/requests/is-well-formed-request.js';
import type {FleetConfiguration} from '../fleet/fleet-configuration.js';
import {CallerMessage} from '../callers/caller-message.js';
import type {CallerGuard} from '../callers/caller-guard.js';
import type {RequestArrival} from '../callers/request-arrival.js';
import type {RequestFeed} from '../callers/request-feed.js';
import {BytePieces} from '../shared/byte-pieces.js';
import {CallerAnswer} from './caller-answer.js';
import {CallerConnections} from './caller-connections.js';

type RefusalReason = 'improper' | 'header too large' | 'body too large' | 'memory';

type CallerServerHandlers = {
	readonly guard: CallerGuard;
	readonly limits: () => FleetConfiguration['limits'] | undefined;
	/** True once each answer has to close its connection. */
	readonly isClosing: () => boolean;
	readonly onRequest: (request: http.IncomingMessage, body: Uint8Array | undefined, answer: CallerAnswer, arrival: RequestArrival) => void;
	readonly onRefused: (request: http.IncomingMessage, answer: CallerAnswer, reason: RefusalReason) => void;
};

/** The limit of Node's parser; the configured limit is checked on each request. */
const maxHeaderBytes = 65_536;
const connectionCheckMilliseconds = 1000;

const headerBytes = (request: http.IncomingMessage): number => request.rawHeaders.reduce((sum, part) => sum + part.length + 2, (request.url ?? '').length);

/** Bytes of the body that the request announces; undefined for a chunked one. */
const bodyBytes = ({headers}: http.IncomingMessage): number | undefined => headers['transfer-encoding'] === undefined ? Number(headers['content-length'] ?? 0) : undefined;

/**
Listens for callers and refuses malformed and oversized requests itself.

@example
```
const server = new CallerServer(handlers);
await server.listen({host: '10.1.0.35', port: 8144});
```
*/
export class CallerServer {
	readonly #server: http.Server;
	readonly #handlers: CallerServerHandlers;
	readonly #connections = new CallerConnections();
	#open = 0;

	constructor(handlers: CallerServerHandlers) {
		this.#handlers = handlers;
		this.#server = http.createServer({
			maxHeaderSize: maxHeaderBytes, noDelay: true, keepAlive: true, connectionsCheckingInterval: connectionCheckMilliseconds, requestTimeout: 60_000, IncomingMessage: CallerMessage, // eslint-disable-line @typescript-eslint/naming-convention
		}, (request, response) => {
			this.#receive(request, response);
		});
		// By default the server drops all headers after the thousandth, which its parser has acted on. Their size is limited already.
		this.#server.maxHeadersCount = 0;
		this.#server.on('connection', (socket: Socket) => {
			handlers.guard.add(socket);
		});
		// The server calls this too when it is closed.
		this.#server.closeIdleConnections = () => {
			this.#connections.closeIdle();
		};
	}

	/** Number of requests whose answer is not complete yet. */
	get open(): number {
		return this.#open;
	}

	async listen({host, port}: {readonly host: string; readonly port: number}): Promise<void> {
		await new Promise<void>((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen({host, port, backlog: 1024}, resolve);
		});
	}

	/** Applies the timeouts of a new configuration to later connections. */
	setLimits(limits: FleetConfiguration['limits']): void {
		this.#server.keepAliveTimeout = limits.idleMilliseconds;
		this.#server.headersTimeout = limits.headerMilliseconds;
	}

	/** Closes the connections on which no request is open. */
	closeIdle(): void {
		this.#server.closeIdleConnections();
	}

	/** Closes connections whose request has stopped in its middle, and records what callers hold; called at an interval. */
	maintain(): void {
		const limits = this.#handlers.limits();
		if (limits !== undefined) {
			this.#handlers.guard.closeStalled(limits.idleMilliseconds);
		}

		this.#handlers.guard.recordGauges();
	}

	/** Accepts no more connections, and closes the idle ones. */
	close(): void {
		this.#server.close();
	}

	#receive(request: CallerMessage, response: http.ServerResponse): void {
		const {socket} = request;
		const feed = this.#handlers.guard.feedOf(socket);
		if (feed === undefined) {
			return;
		}

		const answer = new CallerAnswer(response, this.#handlers.isClosing, bytes => {
			feed.setUnread(bytes);
		});
		this.#open++;
		this.#connections.begin(socket);
		response.once('close', () => {
			this.#open--;
			this.#connections.end(socket);
			feed.end();
		});
		request.on('error', () => {
			// A caller that disconnects in the middle of its request is noticed by the close of the response.
		});
		const refuse = (reason: RefusalReason): void => {
			this.#refuse(feed, request, answer, reason);
		};

		feed.begin({
			bodyBytes: bodyBytes(request),
			isAnswered: () => answer.isDone,
			refuse() {
				refuse('memory');
			},
		});
		const limits = this.#handlers.limits();
		if (!isWellFormedRequest(request.url ?? '', request.rawHeaders)) {
			refuse('improper');
			return;
		}

		if (limits !== undefined && headerBytes(request) > limits.headerBytes) {
			refuse('header too large');
			return;
		}

		const release = this.#handlers.guard.holdHead(feed, headCost(request.rawHeaders, request.url ?? ''));
		if (release === undefined) {
			refuse('memory');
			return;
		}

		response.once('close', release);
		this.#readBody(request, feed, answer, limits?.bodyBytes ?? Number.POSITIVE_INFINITY);
	}

	#readBody(request: CallerMessage, feed: RequestFeed, answer: CallerAnswer, maxBytes: number): void {
		const body = new BytePieces(bodyBytes(request));
		const {arrival} = feed;
		request.receiver = {
			receive: piece => {
				if (answer.isDone) {
					body.clear();
					return;
				}

				body.append(piece);
				if (body.length > maxBytes) {
					body.clear();
					this.#refuse(feed, request, answer, 'body too large');
					return;
				}

				feed.takeBody(piece.length, body.capacity);
			},
			complete() {
				feed.completeBody();
			},
		};
		request.once('end', () => {
			if (!answer.isDone) {
				const hasBody = request.headers['content-length'] !== undefined || request.headers['transfer-encoding'] !== undefined;
				this.#handlers.onRequest(request, hasBody ? body.take() : undefined, answer, arrival);
			}
		});
		request.once('close', () => {
			body.clear();
		});
		request.resume();
	}

	/** Refuses a request that has not been accepted. Nothing that follows on its connection is read as a request, because it may be a smuggled one. */
	#refuse(feed: RequestFeed, request: CallerMessage, answer: CallerAnswer, reason: RefusalReason): void {
		if (!answer.isDone) {
			answer.closeAfterAnswer();
			feed.stop();
			this.#handlers.onRefused(request, answer, reason);
		}
	}
}
