/**
Stand-in of the users' platform's store: the calls that an entry gateway
makes, with faults that can be switched on for all callers or for one.
*/
import {Buffer} from 'node:buffer';
import type http from 'node:http';
import {text} from 'node:stream/consumers';
import {LoopbackServer} from './loopback-server.js';
import {writeWithoutEnd} from './write-without-end.js';

type Fault = 'none' | 'busy' | 'reset' | 'silent' | 'endless' | 'torn';

type Item = {readonly value: string; readonly revision: number; readonly created: number; readonly lease?: number};

type Transaction = {
	readonly precondition: ReadonlyArray<{readonly key: string; readonly revision: number}>;
	readonly write: ReadonlyArray<{readonly key: string; readonly value: string; readonly lease: number}>;
	readonly remove: readonly string[];
};

const minLeaseMilliseconds = 1000;

type Copy = {readonly revision: number; readonly items: ReadonlyMap<string, Item>};

/**
Items by key, each with the revision of its last change. Pages hold `pageSize` items.

@example
```
const store = new PlatformStoreStandIn();
await store.start();
store.put('op/config', JSON.stringify(configuration));
```
*/
export class PlatformStoreStandIn {
	fault: Fault = 'none';
	pageSize = 50;
	calls = 0;
	/** Calls by the last part of their path that names no lease, such as `kv-keep`. */
	readonly callNames = new Map<string, number>();
	/** Time until an answer is sent. */
	delayMilliseconds = 0;
	/** Sent with each answer; undefined for a store that does not number its eras. */
	era: number | undefined = 1;
	/** The era from the second page of a list on, as when the store comes back between two pages. */
	eraOfNextPages: number | undefined;
	#revision = 1;
	#items = new Map<string, Item>();
	#nextLease = 1;
	readonly #leases = new Map<number, {readonly milliseconds: number; expiresAt: number}>();
	readonly #server = new LoopbackServer((request, response) => {
		this.#answer(request, response);
	});

	get address(): string {
		return this.#server.address;
	}

	async start(): Promise<void> {
		await this.#server.start();
	}

	stop(): void {
		this.#server.stop();
	}

	put(key: string, value: string, lease = 0): void {
		this.#revision++;
		this.#items.set(key, {
			value: Buffer.from(value).toString('base64'), revision: this.#revision, created: this.#items.get(key)?.created ?? this.#revision, lease,
		});
	}

	remove(key: string): void {
		this.#revision++;
		this.#items.delete(key);
	}

	/** The value of a key that is there. */
	read(key: string): string {
		return Buffer.from(this.#items.get(key)!.value, 'base64').toString('utf8');
	}

	/** A copy of what the store holds now. */
	copy(): Copy {
		return {revision: this.#revision, items: new Map(this.#items)};
	}

	/** Comes back from a copy: what was written since is gone, revisions are given out again, and the era rises. */
	restore({revision, items}: Copy): void {
		this.#revision = revision;
		this.#items = new Map(items);
		this.era = (this.era ?? 0) + 1;
	}

	#answer(request: http.IncomingMessage, response: http.ServerResponse): void {
		this.calls++;
		switch (this.fault) {
			case 'busy': {
				this.#send(response, 503, {});
				return;
			}

			case 'reset': {
				request.socket.resetAndDestroy();
				return;
			}

			case 'silent': {
				return;
			}

			case 'endless': {
				writeWithoutEnd(response);
				return;
			}

			case 'torn': {
				// The answer ends in the middle, although its length is right.
				response.end('{"key": "op/config", "value": "c2VjcmV0 c2VjcmV0');
				return;
			}

			case 'none': {
				setTimeout(() => {
					this.#perform(request, response);
				}, this.delayMilliseconds);
			}
		}
	}

	#perform(request: http.IncomingMessage, response: http.ServerResponse): void {
		this.#expireLeases();
		const url = new URL(request.url ?? '/', 'http://store');
		const [call = '', id] = url.pathname.split('/').slice(2);
		this.callNames.set(call, (this.callNames.get(call) ?? 0) + 1);
		switch (call) {
			case 'kv-txn': {
				void this.#transact(request, response);
				break;
			}

			case 'kv-lease': {
				void this.#grantLease(request, response);
				break;
			}

			case 'kv-keep': {
				this.#keepLease(Number(id), response);
				break;
			}

			case 'kv-lease-end': {
				this.#endLease(Number(id));
				this.#send(response, 200, {});
				break;
			}

			default: {
				this.#read(url, response);
			}
		}
	}

	/** Writes and removes all, or nothing when a precondition does not hold. */
	async #transact(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
		const {precondition, write, remove} = JSON.parse(await text(request)) as Transaction;
		const failed = precondition.filter(({key, revision}) => (this.#items.get(key)?.revision ?? 0) !== revision);
		if (failed.length > 0) {
			this.#send(response, 412, {items: failed.flatMap(({key}) => this.#items.has(key) ? [this.#item(key)] : [])});
			return;
		}

		if (write.some(({lease}) => lease !== 0 && !this.#leases.has(lease))) {
			this.#send(response, 404, {});
			return;
		}

		for (const {key, value, lease} of write) {
			this.put(key, Buffer.from(value, 'base64').toString('utf8'), lease);
		}

		for (const key of remove) {
			this.remove(key);
		}

		const written = write[0] === undefined ? undefined : this.#items.get(write[0].key);
		this.#send(response, 200, {revision: written?.revision ?? this.#revision});
	}

	async #grantLease(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
		const {ttlMs} = JSON.parse(await text(request)) as {readonly ttlMs: number};
		const milliseconds = Math.max(minLeaseMilliseconds, ttlMs);
		this.#leases.set(this.#nextLease, {milliseconds, expiresAt: Date.now() + milliseconds});
		this.#send(response, 200, {lease: this.#nextLease, ttlMs: milliseconds});
		this.#nextLease++;
	}

	#keepLease(id: number, response: http.ServerResponse): void {
		const lease = this.#leases.get(id);
		if (lease !== undefined) {
			lease.expiresAt = Date.now() + lease.milliseconds;
		}

		this.#send(response, lease === undefined ? 404 : 200, lease === undefined ? {} : {ttlMs: lease.milliseconds});
	}

	#endLease(id: number): void {
		this.#leases.delete(id);
		for (const [key, {lease}] of this.#items) {
			if (lease === id) {
				this.remove(key);
			}
		}
	}

	#expireLeases(): void {
		for (const [id, {expiresAt}] of this.#leases) {
			if (expiresAt <= Date.now()) {
				this.#endLease(id);
			}
		}
	}

	#read(url: URL, response: http.ServerResponse): void {
		if (url.pathname === '/v1/kv-key') {
			const key = url.searchParams.get('key') ?? '';
			const item = this.#items.get(key);
			this.#send(response, item === undefined ? 404 : 200, item === undefined ? {} : {...this.#item(key), at: this.#revision});
			return;
		}

		const prefix = url.searchParams.get('pathPrefix') ?? '';
		const after = url.searchParams.get('after') ?? '';
		this.era = after === '' ? this.era : this.eraOfNextPages ?? this.era;
		const keys = [...this.#items.keys()].filter(key => key.startsWith(prefix) && key > after).toSorted();
		this.#send(response, 200, {items: keys.slice(0, this.pageSize).map(key => this.#item(key)), hasMore: keys.length > this.pageSize, at: this.#revision});
	}

	#item(key: string): Record<string, unknown> {
		return {key, lease: 0, ...this.#items.get(key)};
	}

	#send(response: http.ServerResponse, status: number, body: unknown): void {
		response.writeHead(status, {'content-type': 'application/json', ...this.era === undefined ? {} : {'store-era': String(this.era)}});
		response.end(JSON.stringify(body));
	}
}
