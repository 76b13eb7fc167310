/**
Stand-in of a target on the users' platform, whose answer to each request the
test writes. It keeps what arrived and what it ran.
*/
import type http from 'node:http';
import {LoopbackServer} from './loopback-server.js';
import {targetEntry} from './target-entry.js';

type Arrival = {readonly requestId: string; readonly method: string; readonly path: string; readonly headers: http.IncomingHttpHeaders; readonly body: string; isClosed: boolean};

type Answer = (response: http.ServerResponse, arrival: Arrival, count: number) => void;

const whole: Answer = (response, {requestId}) => {
	response.writeHead(200, {'x-request-id': requestId, 'x-response-signature': 'proof'});
	response.end('done');
};

/**
Answers on a port of its own. Without an `answer`, each request gets a whole one.

@example
```
const target = new PlatformTargetStandIn('i-1');
await target.start();
target.answer = response => response.socket?.resetAndDestroy();
```
*/
export class PlatformTargetStandIn {
	answer: Answer = whole;
	/** What the target says of its cache, by the path of the question; without it, nothing new after the wait. */
	tellKept: ((path: string) => unknown) | undefined;
	readonly arrivals: Arrival[] = [];
	readonly #server = new LoopbackServer((request, response) => {
		this.#receive(request, response);
	});

	constructor(readonly id: string) {}

	get address(): string {
		return this.#server.address;
	}

	async start(): Promise<void> {
		await this.#server.start();
	}

	stop(): void {
		this.#server.stop();
	}

	/** The entry of this target in the platform's list. */
	entry(service: string, more: Readonly<Record<string, unknown>> = {}): string {
		return targetEntry({address: this.address, service}, more);
	}

	/** Questions on the cache are no arrivals. */
	#answerKept(request: http.IncomingMessage, response: http.ServerResponse): void {
		const send = (value: unknown): void => {
			response.writeHead(200, {'content-type': 'application/json'});
			response.end(JSON.stringify(value));
		};

		if (this.tellKept !== undefined) {
			send(this.tellKept(request.url ?? ''));
			return;
		}

		const timer = setTimeout(send, Number(request.headers['wait-ms'] ?? 0), {
			epoch: 1, next: 0, lost: false, events: [],
		});
		response.once('close', () => {
			clearTimeout(timer);
		});
	}

	#receive(request: http.IncomingMessage, response: http.ServerResponse): void {
		if (request.url?.startsWith('/v1/kv-events') === true || request.url === '/v1/kv-list') {
			this.#answerKept(request, response);
			return;
		}

		const chunks: string[] = [];
		request.setEncoding('latin1');
		request.on('data', (chunk: string) => {
			chunks.push(chunk);
		});
		request.on('end', () => {
			const arrival: Arrival = {
				requestId: String(request.headers['x-request-id'] ?? ''), method: request.method ?? '', path: request.url ?? '', headers: request.headers, body: chunks.join(''), isClosed: false,
			};
			this.arrivals.push(arrival);
			response.once('close', () => {
				arrival.isClosed = true;
			});
			if (request.headers['x-expect-instance'] !== undefined && request.headers['x-expect-instance'] !== this.id) {
				response.writeHead(421, {'x-instance-id': this.id});
				response.end();
				return;
			}

			this.answer(response, arrival, this.arrivals.length);
		});
	}
}
