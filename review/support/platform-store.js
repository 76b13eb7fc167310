/**
Stand-in of the platform's metadata store, as PROTOCOL.md describes it: items with
revisions, reads of one item and of a range, and writes under conditions.
*/
import {Buffer} from 'node:buffer';
import http from 'node:http';
import {text} from 'node:stream/consumers';

const maxPageItems = 500;

export class PlatformStore {
	#revision = 100;
	#items = new Map();
	#server = http.createServer(async (request, response) => {
		await this.#answer(request, response);
	});

	get address() {
		const {address, port} = this.#server.address();
		return `${address}:${port}`;
	}

	async start() {
		await new Promise(resolve => {
			this.#server.listen(0, '127.0.0.1', resolve);
		});
	}

	stop() {
		this.#server.closeAllConnections();
		this.#server.close();
	}

	/** Writes a value of an operator or a replica. */
	put(key, value) {
		this.#revision++;
		this.#items.set(key, {
			key, value: Buffer.from(JSON.stringify(value)).toString('base64'), revision: this.#revision, created: this.#items.get(key)?.created ?? this.#revision, lease: 0,
		});
	}

	remove(key) {
		this.#revision++;
		this.#items.delete(key);
	}

	async #answer(request, response) {
		const url = new URL(request.url, 'http://store');
		switch (`${request.method} ${url.pathname}`) {
			case 'GET /v1/kv-key': {
				const item = this.#items.get(url.searchParams.get('key'));
				this.#send(response, item === undefined ? 404 : 200, {...item, at: this.#revision});
				break;
			}

			case 'GET /v1/kv-range': {
				const prefix = url.searchParams.get('pathPrefix') ?? '';
				const after = url.searchParams.get('after') ?? '';
				const keys = [...this.#items.keys()].filter(key => key.startsWith(prefix) && key > after).toSorted();
				this.#send(response, 200, {items: keys.slice(0, maxPageItems).map(key => this.#items.get(key)), hasMore: keys.length > maxPageItems, at: this.#revision});
				break;
			}

			case 'POST /v1/kv-txn': {
				this.#write(response, JSON.parse(await text(request)));
				break;
			}

			default: {
				this.#send(response, 404, {});
			}
		}
	}

	#write(response, {precondition = [], write = [], remove = []}) {
		const failed = precondition.filter(({key, revision}) => (this.#items.get(key)?.revision ?? 0) !== revision);
		if (failed.length > 0) {
			this.#send(response, 412, {items: precondition.map(({key}) => this.#items.get(key)).filter(item => item !== undefined)});
			return;
		}

		this.#revision++;
		for (const {key, value, lease = 0} of write) {
			this.#items.set(key, {
				key, value, revision: this.#revision, created: this.#items.get(key)?.created ?? this.#revision, lease,
			});
		}

		for (const key of remove) {
			this.#items.delete(key);
		}

		this.#send(response, 200, {revision: this.#revision});
	}

	#send(response, status, body) {
		response.writeHead(status, {'content-type': 'application/json'});
		response.end(JSON.stringify(body));
	}
}
