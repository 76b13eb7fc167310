/**
Stand-in of a model engine over HTTP, in real time.
*/
import process from 'node:process';
import fastify, {type FastifyInstance, type FastifyReply} from 'fastify';
import {answerToken} from './answer-token.js';
import {EngineModel} from './engine-model.js';

type EngineOptions = {
	readonly port: number;
	readonly role?: 'prefill' | 'decode' | 'mixed';
	readonly slowness?: number;
	readonly checksFencing?: boolean;
	readonly changeMilliseconds?: number;
	readonly totalPieces?: number;
};
type Completion = {readonly prompt?: string; readonly messages?: ReadonlyArray<{readonly content: string}>; readonly max_tokens?: number};
type Job = {readonly prompt: string; readonly isChat: boolean; tokens: string[]; ended: boolean; listener: (() => void) | undefined};
type OrderBody = {
	readonly action: string;
	readonly role?: 'prefill' | 'decode' | 'mixed';
	readonly model?: string;
	readonly version?: string;
	readonly fencingNumber: number;
	readonly sequence: number;
};

const tickMilliseconds = 4;
const defaultOutputTokens = 64;
const bytesPerToken = 4;
const keptMilliseconds = 60_000;
const bodyLimit = 16 * 1024 * 1024;
const ranks: Readonly<Record<string, number>> = {low: 0, normal: 1, high: 2};

/**
An engine process. Its record lists what tests must never find: conflicting
orders, streams cut by an order.

@example
```
const engine = new EngineStandIn({port: 8000});
await engine.start();
```
*/
export class EngineStandIn {
	readonly #options: EngineOptions;
	readonly #model: EngineModel;
	readonly #jobs = new Map<string, Job>();
	readonly #server: FastifyInstance = fastify({bodyLimit, forceCloseConnections: true});
	readonly #orders: Array<OrderBody & {readonly outcome: string}> = [];
	readonly #record = {
		started: 0, ended: 0, cancelled: 0, conflictingOrders: 0, streamsCutByOrders: 0, highestFencingNumber: 0, cacheHits: 0, lastStartedAt: 0,
	};

	#timer: NodeJS.Timeout | undefined;
	#startedAt = performance.now();
	#changing = false;
	#modelName = 'standard';
	#version = '1';
	#crashNextChange = false;

	constructor(options: EngineOptions) {
		this.#options = options;
		this.#model = new EngineModel(options.role ?? 'mixed', {slowness: options.slowness ?? 1, ...options.totalPieces === undefined ? {} : {totalPieces: options.totalPieces}});
		this.#routes();
	}

	async start(): Promise<void> {
		this.#startedAt = performance.now();
		this.#timer = setInterval(() => {
			this.#tick();
		}, tickMilliseconds);
		await this.#server.listen({host: '127.0.0.1', port: this.#options.port});
	}

	async stop(): Promise<void> {
		clearInterval(this.#timer);
		await this.#server.close();
	}

	#routes(): void {
		this.#server.post('/v1/completions', async (request, reply) => this.#complete(request, reply, false));
		this.#server.post('/v1/chat/completions', async (request, reply) => this.#complete(request, reply, true));
		this.#server.post('/streams/resume', async (request, reply) => {
			const {id, from} = request.body as {id: string; from: number};
			const job = this.#jobs.get(id);
			if (job === undefined) {
				return reply.code(404).send({error: 'no such stream'});
			}

			this.#follow(job, reply, from);
			return reply;
		});
		this.#server.post('/streams/cancel', async request => {
			const {id} = request.body as {id: string};
			this.#model.cancel(id);
			this.#record.cancelled += this.#jobs.delete(id) ? 1 : 0;
			return {};
		});
		this.#server.get('/state', async () => ({
			...this.#model.capacity, role: this.#model.role, changing: this.#changing, model: this.#modelName, version: this.#version,
		}));
		this.#server.post('/orders', async (request, reply) => this.#order(request.body as OrderBody, reply));
		this.#server.get('/record', async () => ({
			...this.#record, cacheHits: this.#model.cacheHits, orders: this.#orders, running: this.#model.size,
		}));
		this.#server.post('/faults', async request => {
			this.#crashNextChange = (request.body as {crashNextChange?: boolean}).crashNextChange ?? false;
			return {};
		});
	}

	async #complete(request: {readonly body: unknown; readonly headers: Record<string, unknown>}, reply: FastifyReply, isChat: boolean) {
		if (this.#changing) {
			return reply.code(503).send({error: 'changing'});
		}

		const body = request.body as Completion;
		const prompt = body.prompt ?? (body.messages ?? []).map(message => message.content).join('\n');
		const id = (request.headers['x-request-id'] as string | undefined) ?? `${this.#record.started}`;
		const job: Job = {
			prompt, isChat, tokens: [], ended: false, listener: undefined,
		};
		this.#jobs.set(id, job);
		this.#record.started += 1;
		this.#record.lastStartedAt = Date.now();
		this.#model.submit({
			id,
			prompt,
			promptTokens: Math.max(1, Math.ceil(prompt.length / bytesPerToken)),
			outputTokens: body.max_tokens ?? defaultOutputTokens,
			importance: ranks[String(request.headers['x-importance'])] ?? 1,
		});
		this.#follow(job, reply, 0);
		return reply;
	}

	/** Streams a job's tokens from `from` on; a later reader takes the place of an earlier one. */
	#follow(job: Job, reply: FastifyReply, from: number): void {
		void reply.hijack();
		const {raw} = reply;
		raw.writeHead(200, {'content-type': 'text/event-stream'});
		let sent = from;
		const send = (choice: unknown): void => {
			raw.write(`data: ${JSON.stringify({choices: [choice]})}\n\n`);
		};

		const listener = (): void => {
			for (; sent < job.tokens.length; sent++) {
				const text = job.tokens[sent];
				send(job.isChat ? {delta: {content: text}} : {text});
			}

			if (job.ended) {
				send({finish_reason: 'length', ...job.isChat ? {delta: {}} : {text: ''}}); // eslint-disable-line @typescript-eslint/naming-convention
				raw.end('data: [DONE]\n\n');
			}
		};

		job.listener = listener;
		listener();
	}

	#tick(): void {
		const touched = new Set<Job>();
		for (const event of this.#model.advance(performance.now() - this.#startedAt)) {
			const job = this.#jobs.get(event.id);
			if (job === undefined) {
				continue;
			}

			touched.add(job);
			if (event.kind === 'token') {
				job.tokens.push(answerToken(job.prompt, event.index));
				continue;
			}

			job.ended = true;
			this.#record.ended += 1;
			setTimeout(() => this.#jobs.delete(event.id), keptMilliseconds).unref();
		}

		for (const job of touched) {
			job.listener?.();
		}
	}

	async #order(order: OrderBody, reply: FastifyReply) {
		if (this.#changing) {
			this.#record.conflictingOrders += 1;
			this.#orders.push({...order, outcome: 'conflict'});
			return reply.code(409).send({error: 'changing'});
		}

		if (order.fencingNumber < this.#record.highestFencingNumber) {
			this.#orders.push({...order, outcome: 'stale'});
			if (this.#options.checksFencing ?? true) {
				return reply.code(409).send({error: 'stale fencing number'});
			}
		}

		this.#record.highestFencingNumber = Math.max(this.#record.highestFencingNumber, order.fencingNumber);
		this.#orders.push({...order, outcome: 'taken'});
		this.#record.streamsCutByOrders += this.#model.clear().length;
		this.#changing = true;
		await new Promise(resolve => {
			setTimeout(resolve, this.#options.changeMilliseconds ?? 1000);
		});
		if (this.#crashNextChange) {
			process.kill(process.pid, 'SIGKILL');
		}

		this.#model.role = order.role ?? this.#model.role;
		this.#modelName = order.model ?? this.#modelName;
		this.#version = order.version ?? this.#version;
		this.#changing = false;
		return {};
	}
}
