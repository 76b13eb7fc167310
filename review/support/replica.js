/**
Stand-in of a replica of a service: answers on loopback as PROTOCOL.md says, and
renews its entry in the store at each heartbeat.
*/
import {Buffer} from 'node:buffer';
import http from 'node:http';

const heartbeatMilliseconds = 1200;
/** Unix time in milliseconds at which the first incarnation started. */
const firstBorn = 1_700_000_000_000;

/** Answers a request that has run with a body, as a sound replica does. */
export const answerWhole = (response, arrival, body = 'done') => {
	response.writeHead(200, {
		'content-type': 'text/plain', 'content-length': String(Buffer.byteLength(body)), 'x-request-id': arrival.requestId, 'x-response-signature': `proof.${arrival.replica}`,
	});
	response.end(body);
};

export class Replica {
	/** Requests in the order of their arrival, each with what became of it. */
	arrivals = [];
	#timer;
	#sequence = 0;
	#incarnation = 0;
	#sockets = new Set();
	#options;
	#server = http.createServer({keepAliveTimeout: 30_000}, (request, response) => {
		this.#receive(request, response);
	});

	/** `run` is called for each request that runs, and answers it. `entry` has the fields of the list of replicas beside the usual ones. */
	constructor(options) {
		this.#options = options;
	}

	get id() {
		return this.#options.id;
	}

	get address() {
		const {address, port} = this.#server.address();
		return `${address}:${port}`;
	}

	async start() {
		this.#server.on('connection', socket => {
			this.#sockets.add(socket);
			socket.once('close', () => {
				this.#sockets.delete(socket);
			});
		});
		await this.#listen(0);
	}

	async #listen(port) {
		await new Promise(resolve => {
			this.#server.listen(port, '127.0.0.1', resolve);
		});
		this.#renew();
		this.#timer = setInterval(() => {
			this.#renew();
		}, heartbeatMilliseconds);
	}

	/** Crashes: all connections are reset and nothing listens; after that time the replica is back at its address, as a new incarnation. */
	async crash(milliseconds) {
		const {port} = this.#server.address();
		clearInterval(this.#timer);
		for (const socket of this.#sockets) {
			socket.resetAndDestroy();
		}

		await new Promise(resolve => {
			this.#server.close(resolve);
		});
		await new Promise(resolve => {
			setTimeout(resolve, milliseconds);
		});
		this.#incarnation++;
		await this.#listen(port);
	}

	stop() {
		clearInterval(this.#timer);
		this.#server.closeAllConnections();
		this.#server.close();
	}

	#renew() {
		const {store, id, service, entry = {}} = this.#options;
		this.#sequence++;
		store.put(`servers/${id}`, {
			service,
			address: this.address,
			zone: 'zone-a',
			version: 'v1',
			slots: 64,
			state: 'ready',
			coldRemainingMs: 0,
			sequence: this.#sequence,
			born: firstBorn + this.#incarnation,
			...entry,
		});
	}

	#receive(request, response) {
		const chunks = [];
		request.on('data', chunk => {
			chunks.push(chunk);
		});
		request.on('error', () => {
			// The caller has closed its connection; the response closes too.
		});
		response.on('error', () => {
			// The caller has closed its connection.
		});
		request.on('end', () => {
			this.#handle(request, response, Buffer.concat(chunks));
		});
	}

	#handle(request, response, body) {
		const {id} = this.#options;
		const url = new URL(request.url, 'http://replica');
		const expected = request.headers['x-expect-instance'];
		if (expected !== undefined && expected !== id) {
			response.writeHead(421, {'x-instance-id': id, 'content-length': '0'});
			response.end();
		} else if (request.method === 'DELETE') {
			this.#sendJson(response, {});
		} else {
			this.#answerByPath(url.pathname, request, response, body);
		}
	}

	#answerByPath(path, request, response, body) {
		switch (path) {
			case '/healthz': {
				response.writeHead(200, {'x-instance-id': this.id, 'content-length': '0'});
				response.end();
				break;
			}

			case '/v1/kv-events': {
				this.#answerCacheChanges(request, response);
				break;
			}

			case '/v1/kv-list': {
				this.#sendJson(response, {epoch: 1, next: 1, held: []});
				break;
			}

			default: {
				const arrival = {
					replica: this.id, requestId: request.headers['x-request-id'] ?? '', method: request.method, path: request.url, headers: request.headers, body,
				};
				this.arrivals.push(arrival);
				this.#options.run(response, arrival, this.arrivals.length);
			}
		}
	}

	#answerCacheChanges(request, response) {
		const timer = setTimeout(() => {
			this.#sendJson(response, {
				epoch: 1, next: 1, lost: false, events: [],
			});
		}, Math.min(1000, Number(request.headers['wait-ms'] ?? 0)));
		response.once('close', () => {
			clearTimeout(timer);
		});
	}

	#sendJson(response, value) {
		response.writeHead(200, {'content-type': 'application/json'});
		response.end(JSON.stringify(value));
	}
}
