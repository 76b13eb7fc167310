/**
Stand-in of the network between two ends: a TCP relay that can be cut, or lose
track of its open connections for good while new ones work.
*/
import net from 'node:net';
import fastify, {type FastifyInstance} from 'fastify';

type WireOptions = {readonly port: number; readonly controlPort: number; readonly targetPort: number};
type WireMode = 'pass' | 'cut';

/**
A wire in front of one listening port.

@example
```
const wire = new WireStandIn({port: 7100, controlPort: 7101, targetPort: 7000});
await wire.start();
wire.silence(); // open connections go silent; new ones work
```
*/
export class WireStandIn {
	mode: WireMode = 'pass';
	readonly #options: WireOptions;
	readonly #pairs = new Set<readonly [net.Socket, net.Socket]>();
	readonly #server: net.Server;
	readonly #control: FastifyInstance = fastify({forceCloseConnections: true});

	constructor(options: WireOptions) {
		this.#options = options;
		this.#server = net.createServer(socket => {
			this.#relay(socket);
		});
		this.#control.post('/silence', async () => {
			this.silence();
			return {};
		});
		this.#control.post('/cut', async () => {
			this.cut();
			return {};
		});
		this.#control.post('/pass', async () => {
			this.mode = 'pass';
			return {};
		});
	}

	async start(): Promise<void> {
		await this.#control.listen({host: '127.0.0.1', port: this.#options.controlPort});
		await new Promise<void>(resolve => {
			this.#server.listen(this.#options.port, '127.0.0.1', resolve);
		});
	}

	async stop(): Promise<void> {
		this.cut();
		await this.#control.close();
		this.#server.close();
	}

	/** Swallows all further bytes of the connections now open; neither end is told. */
	silence(): void {
		for (const [near, far] of this.#pairs) {
			for (const socket of [near, far]) {
				socket.removeAllListeners('data');
				socket.removeAllListeners('close');
				socket.on('data', () => {/* Swallowed. */});
			}
		}

		this.#pairs.clear();
	}

	/** Breaks all connections and refuses new ones until `pass`. */
	cut(): void {
		this.mode = 'cut';
		for (const pair of this.#pairs) {
			for (const socket of pair) {
				socket.destroy();
			}
		}
	}

	#relay(near: net.Socket): void {
		if (this.mode === 'cut') {
			near.destroy();
			return;
		}

		const far = net.connect(this.#options.targetPort, '127.0.0.1');
		const pair = [near, far] as const;
		this.#pairs.add(pair);
		for (const [from, to] of [[near, far], [far, near]] as const) {
			from.on('data', data => to.write(data));
			from.on('error', () => to.destroy());
			from.on('close', () => {
				to.destroy();
				this.#pairs.delete(pair);
			});
		}
	}
}
