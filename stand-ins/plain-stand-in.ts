/**
Stand-in of a plain service that records every execution.
*/
import fs from 'node:fs';
import fastify, {type FastifyInstance} from 'fastify';

type PlainOptions = {readonly port: number; readonly callMilliseconds?: number; readonly recordFile?: string};

/**
A plain service. It appends the path of each execution to its record file, so
that a test can see a bid or booking that landed twice.

@example
```
const service = new PlainStandIn({port: 9000});
await service.start();
```
*/
export class PlainStandIn {
	readonly #options: PlainOptions;
	#lastStartedAt = 0;
	readonly #server: FastifyInstance = fastify({forceCloseConnections: true});

	constructor(options: PlainOptions) {
		this.#options = options;
		this.#server.get('/record', async () => ({lastStartedAt: this.#lastStartedAt}));
		this.#server.all('/*', async request => {
			const id = String(request.headers['x-request-id'] ?? '');
			this.#lastStartedAt = Date.now();
			// Written before the answer, so that a killed service does not forget what it did.
			if (this.#options.recordFile !== undefined) {
				fs.appendFileSync(this.#options.recordFile, `${request.url}\n`);
			}

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
