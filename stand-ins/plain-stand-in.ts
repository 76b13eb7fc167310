/**
Stand-in of a plain service that records every execution.
*/
import fastify, {type FastifyInstance} from 'fastify';

type PlainOptions = {readonly port: number; readonly callMilliseconds?: number};

/**
A plain service. Its record counts executions by request, so that a test can see
a bid or booking that landed twice.

@example
```
const service = new PlainStandIn({port: 9000});
await service.start();
```
*/
export class PlainStandIn {
	readonly #options: PlainOptions;
	readonly #server: FastifyInstance = fastify({forceCloseConnections: true});
	readonly #executions = new Map<string, number>();

	constructor(options: PlainOptions) {
		this.#options = options;
		this.#server.get('/record', async () => ({executions: Object.fromEntries(this.#executions)}));
		this.#server.all('/*', async request => {
			const id = String(request.headers['x-request-id'] ?? '');
			this.#executions.set(id, (this.#executions.get(id) ?? 0) + 1);
			await new Promise(resolve => {
				setTimeout(resolve, this.#options.callMilliseconds ?? 5);
			});
			return {id, path: request.url, received: request.body ?? null};
		});
	}

	async start(): Promise<void> {
		await this.#server.listen({host: '127.0.0.1', port: this.#options.port});
	}

	async stop(): Promise<void> {
		await this.#server.close();
	}
}
