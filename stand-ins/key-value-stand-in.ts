/**
Stand-in of the platform's key-value service: the part of the etcd v3 JSON
gateway that the system uses, with switchable faults and a counter of calls.
*/
import {Buffer} from 'node:buffer';
import fastify, {type FastifyInstance, type FastifyReply} from 'fastify';

type KeyValueOptions = {readonly port: number; readonly callsPerSecond?: number};
type Entry = {readonly value: string; readonly revision: number; readonly created: number; readonly lease: string};
type Lease = {readonly seconds: number; expiresAt: number};
type Faults = {
	/** Connections are broken off without an answer and nothing happens. */
	readonly outage?: boolean;
	/** Calls get no answer and nothing happens, as behind a network that drops everything. */
	readonly hang?: boolean;
	readonly slowMilliseconds?: number;
	/** How many of the next writes take effect but lose their answer. */
	readonly loseAnswers?: number;
};
type Body = {
	readonly key?: string;
	readonly TTL?: string;
	readonly ID?: string;
	readonly compare?: ReadonlyArray<{readonly key: string; readonly mod_revision: string}>;
	readonly success?: ReadonlyArray<{
		readonly request_put?: {readonly key: string; readonly value: string; readonly lease?: string};
		readonly request_delete_range?: {readonly key: string};
	}>;
	readonly create_request?: {readonly key: string};
};

const millisecondsPerSecond = 1000;
const sweepMilliseconds = 100;

/**
A key-value service in memory.

@example
```
const store = new KeyValueStandIn({port: 2379});
await store.start();
store.setFaults({outage: true});
```
*/
export class KeyValueStandIn {
	calls = 0;
	readonly #options: KeyValueOptions;
	readonly #server: FastifyInstance = fastify({forceCloseConnections: true});
	readonly #entries = new Map<string, Entry>();
	readonly #leases = new Map<string, Lease>();
	readonly #watchers = new Map<FastifyReply, string>();
	#revision = 1;
	#faults: Faults = {};
	#lostAnswers = 0;
	#second = {startedAt: 0, calls: 0};
	#timer: NodeJS.Timeout | undefined;

	constructor(options: KeyValueOptions) {
		this.#options = options;
		this.#routes();
	}

	async start(): Promise<void> {
		this.#timer = setInterval(() => {
			this.#sweep();
		}, sweepMilliseconds);
		await this.#server.listen({host: '127.0.0.1', port: this.#options.port});
	}

	async stop(): Promise<void> {
		clearInterval(this.#timer);
		await this.#server.close();
	}

	setFaults(faults: Faults): void {
		this.#faults = faults;
		this.#lostAnswers = faults.loseAnswers ?? 0;
		if (faults.outage === true) {
			for (const reply of this.#watchers.keys()) {
				reply.raw.destroy();
			}

			this.#watchers.clear();
		}
	}

	#routes(): void {
		this.#server.addHook('preHandler', async (request, reply) => {
			if (!request.url.startsWith('/v3/')) {
				return;
			}

			this.calls += 1;
			if (this.#faults.outage === true) {
				void reply.hijack();
				request.raw.socket.destroy();
				return;
			}

			if (this.#faults.hang === true) {
				void reply.hijack();
				return;
			}

			if (this.#isOverRate()) {
				return reply.code(429).send({error: 'over rate'});
			}

			await new Promise(resolve => {
				setTimeout(resolve, this.#faults.slowMilliseconds ?? 1);
			});
		});
		this.#server.addHook('onSend', async (request, reply, payload) => {
			const isWrite = request.url === '/v3/kv/txn' || request.url === '/v3/lease/grant';
			if (isWrite && this.#lostAnswers > 0 && reply.statusCode === 200) {
				this.#lostAnswers -= 1;
				request.raw.socket.destroy();
			}

			return payload;
		});
		this.#server.post('/v3/kv/range', async request => ({kvs: this.#range((request.body as Body).key ?? '')}));
		this.#server.post('/v3/kv/txn', async request => this.#transact(request.body as Body));
		this.#server.post('/v3/lease/grant', async request => {
			const id = String(this.#nextRevision());
			const seconds = Number((request.body as Body).TTL);
			this.#leases.set(id, {seconds, expiresAt: performance.now() + (seconds * millisecondsPerSecond)});
			return {ID: id, TTL: String(seconds)};
		});
		this.#server.post('/v3/lease/keepalive', async request => {
			const lease = this.#leases.get((request.body as Body).ID ?? '');
			if (lease === undefined) {
				return {result: {TTL: '0'}};
			}

			lease.expiresAt = performance.now() + (lease.seconds * millisecondsPerSecond);
			return {result: {TTL: String(lease.seconds)}};
		});
		this.#server.post('/v3/lease/timetolive', async request => {
			const lease = this.#leases.get((request.body as Body).ID ?? '');
			return {TTL: lease === undefined ? '-1' : String((lease.expiresAt - performance.now()) / millisecondsPerSecond)};
		});
		this.#server.post('/v3/lease/revoke', async request => {
			this.#dropLease((request.body as Body).ID ?? '');
			return {};
		});
		this.#server.post('/v3/watch', async (request, reply) => {
			void reply.hijack();
			reply.raw.writeHead(200, {'content-type': 'application/json'});
			reply.raw.write(`${JSON.stringify({result: {created: true}})}\n`);
			this.#watchers.set(reply, (request.body as Body).create_request?.key ?? '');
			reply.raw.on('close', () => this.#watchers.delete(reply));
		});
		this.#server.get('/record', async () => ({calls: this.calls, keys: [...this.#entries.keys()].map(key => Buffer.from(key, 'base64').toString('utf8')), watchers: this.#watchers.size}));
		this.#server.post('/faults', async request => {
			this.setFaults(request.body as Faults);
			return {};
		});
	}

	#isOverRate(): boolean {
		const second = Math.floor(performance.now() / millisecondsPerSecond);
		this.#second = this.#second.startedAt === second ? {startedAt: second, calls: this.#second.calls + 1} : {startedAt: second, calls: 1};
		return this.#second.calls > (this.#options.callsPerSecond ?? 2000);
	}

	#nextRevision(): number {
		this.#revision += 1;
		return this.#revision;
	}

	#range(key: string) {
		const entry = this.#entries.get(key);
		return entry === undefined ? [] : [toJson(key, entry)];
	}

	#transact({compare, success}: Body) {
		const holds = (compare ?? []).every(({key, mod_revision: revision}) => (this.#entries.get(key)?.revision ?? 0) === Number(revision));
		if (!holds) {
			return {succeeded: false, header: {revision: String(this.#revision)}};
		}

		const revision = this.#nextRevision();
		for (const {request_put: put, request_delete_range: deletion} of success ?? []) {
			if (put !== undefined) {
				this.#put(put, revision);
			}

			if (deletion !== undefined) {
				this.#entries.delete(deletion.key);
			}
		}

		return {succeeded: true, header: {revision: String(revision)}};
	}

	#put({key, value, lease}: {readonly key: string; readonly value: string; readonly lease?: string}, revision: number): void {
		const entry: Entry = {
			value, revision, created: this.#entries.get(key)?.created ?? revision, lease: lease ?? '0',
		};
		this.#entries.set(key, entry);
		for (const [reply, watched] of this.#watchers) {
			if (watched === key) {
				reply.raw.write(`${JSON.stringify({result: {events: [{kv: toJson(key, entry)}]}})}\n`);
			}
		}
	}

	#sweep(): void {
		const now = performance.now();
		for (const [id, lease] of this.#leases) {
			if (lease.expiresAt <= now) {
				this.#dropLease(id);
			}
		}
	}

	#dropLease(id: string): void {
		this.#leases.delete(id);
		for (const [key, entry] of this.#entries) {
			if (entry.lease === id) {
				this.#entries.delete(key);
				this.#nextRevision();
			}
		}
	}
}

const toJson = (key: string, entry: Entry) => ({
	key, value: entry.value, mod_revision: String(entry.revision), create_revision: String(entry.created), lease: entry.lease,
});
