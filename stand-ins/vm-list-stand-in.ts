/**
Stand-in of the platform's VM list, with a lag.
*/
import fastify, {type FastifyInstance} from 'fastify';
import type {ListedVm} from '../source/ports/listed-vm.js';

type VmListOptions = {readonly port: number; readonly vms: readonly ListedVm[]; readonly lagMilliseconds?: number};

/**
A list of VMs. Changes show only after the lag.

@example
```
const list = new VmListStandIn({port: 8090, vms});
await list.start();
```
*/
export class VmListStandIn {
	#vms: readonly ListedVm[];
	#version = 1;
	readonly #options: VmListOptions;
	readonly #server: FastifyInstance = fastify({forceCloseConnections: true});

	constructor(options: VmListOptions) {
		this.#options = options;
		this.#vms = options.vms;
		this.#server.get('/vms', async (request, reply) => {
			const tag = `"${this.#version}"`;
			return request.headers['if-none-match'] === tag
				? reply.code(304).send()
				: reply.header('etag', tag).send(this.#vms);
		});
		this.#server.post('/set', async request => {
			this.set(request.body as readonly ListedVm[]);
			return {};
		});
	}

	/** Replaces the list after the lag. */
	set(vms: readonly ListedVm[]): void {
		setTimeout(() => {
			this.#vms = vms;
			this.#version += 1;
		}, this.#options.lagMilliseconds ?? 0);
	}

	async start(): Promise<void> {
		await this.#server.listen({host: '127.0.0.1', port: this.#options.port});
	}

	async stop(): Promise<void> {
		await this.#server.close();
	}
}
