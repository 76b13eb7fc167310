/**
Clients that send bytes of their own making to a gateway, without an HTTP library between.
*/
import net from 'node:net';

type CrowdPlan = {
	readonly port: number;
	readonly clients: number;
	/** Sent first. */
	readonly head: (client: number) => string;
	/** Sent again and again after the head. */
	readonly block?: Uint8Array;
	/** Times that the block is sent; the client then stays as it is. */
	readonly blocks?: number;
	/** Whether the client reads its answers. */
	readonly isReading: boolean;
};

type Client = {readonly socket: net.Socket; left: number; isClosed: boolean};

const startOfAnswer = 'HTTP/1.1 ';

const countAnswers = (text: string): number => text.split(startOfAnswer).length - 1;

/**
One instance a kind of client. Each client writes as fast as the gateway reads.

@example
```
const crowd = new Crowd({port, clients: 40, head: () => head, block, blocks: 100, isReading: false});
await crowd.sent;
crowd.leave();
```
*/
export class Crowd {
	/** Resolves once each client has sent all, or is closed or held up by the gateway for a while. */
	readonly sent: Promise<void>;
	/** Answers whose beginning was read. */
	answers = 0;
	#writes = 0;
	readonly #clients: readonly Client[];
	readonly #plan: CrowdPlan;

	/** `quietMilliseconds` is for how long no client can write anything before the crowd counts as held up. */
	constructor(plan: CrowdPlan, quietMilliseconds = 700) {
		this.#plan = plan;
		this.#clients = Array.from({length: plan.clients}, (_, index) => this.#add(index));
		this.sent = this.#untilSent(quietMilliseconds);
	}

	/** Clients whose connection is open. */
	get open(): number {
		return this.#clients.filter(({isClosed}) => !isClosed).length;
	}

	get isSent(): boolean {
		return this.#clients.every(({left, isClosed, socket}) => isClosed || (left === 0 && socket.writableLength === 0));
	}

	/** Closes all connections. */
	leave(): void {
		for (const {socket} of this.#clients) {
			socket.destroy();
		}
	}

	#add(index: number): Client {
		const {port, head, blocks = 0, isReading} = this.#plan;
		const socket = net.connect({host: '127.0.0.1', port, allowHalfOpen: true});
		const client: Client = {socket, left: blocks, isClosed: false};
		socket.on('error', () => undefined);
		socket.on('close', () => {
			client.isClosed = true;
		});
		socket.on('drain', () => {
			this.#write(client);
		});
		if (isReading) {
			socket.setEncoding('latin1');
			let rest = '';
			socket.on('data', (data: Uint8Array | string) => {
				const text = rest + String(data);
				this.answers += countAnswers(text);
				// Shorter than the beginning of an answer, so that none is counted twice.
				rest = text.slice(1 - startOfAnswer.length);
			});
			socket.on('end', () => {
				socket.destroy();
			});
		}

		socket.write(head(index), 'latin1');
		this.#write(client);
		return client;
	}

	#write(client: Client): void {
		const {block} = this.#plan;
		this.#writes++;
		if (block === undefined || client.isClosed || client.left === 0) {
			return;
		}

		client.left--;
		if (client.socket.write(block)) {
			setImmediate(() => {
				this.#write(client);
			});
		}
	}

	async #untilSent(quietMilliseconds: number): Promise<void> {
		return new Promise(resolve => {
			let former = -1;
			const timer = setInterval(() => {
				if (this.isSent || this.#writes === former) {
					clearInterval(timer);
					resolve();
				}

				former = this.#writes;
			}, quietMilliseconds);
		});
	}
}
