/**
The network between the gateways of a soak and one target: a TCP relay that may be slow, lose
packets, or lose track of its open connections.
*/
import net, {type AddressInfo} from 'node:net';
import {listenOnLoopback} from '../../stand-ins/listen-on-loopback.js';
import type {SoakRandom} from './soak-random.js';

/** Time after which a lost packet is sent again. */
const leastResendMilliseconds = 200;
const mostResendMilliseconds = 500;
const lossShare = 0.05;

type Delivery = {readonly at: number; readonly act: () => void};

type Pair = {readonly near: net.Socket; readonly far: net.Socket; isSilent: boolean};

/**
One instance a target. Bytes arrive in order, as TCP has it; a lost packet delays all behind it.

@example
```
const wire = new SoakWire(() => targetPort, random);
await wire.start();
wire.delayMilliseconds = 80;
```
*/
export class SoakWire {
	delayMilliseconds = 0;
	isLossy = false;
	readonly #pairs = new Set<Pair>();
	readonly #targetPort: () => number;
	readonly #random: SoakRandom;
	readonly #server = net.createServer(near => {
		this.#relay(near);
	});

	constructor(targetPort: () => number, random: SoakRandom) {
		this.#targetPort = targetPort;
		this.#random = random;
	}

	get address(): string {
		return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
	}

	async start(): Promise<void> {
		await listenOnLoopback(this.#server);
	}

	stop(): void {
		this.#server.close();
		for (const {near, far} of this.#pairs) {
			near.destroy();
			far.destroy();
		}
	}

	/** Swallows all further bytes of the connections that are open now; neither end is told. */
	silence(): void {
		for (const pair of this.#pairs) {
			pair.isSilent = true;
		}
	}

	#relay(near: net.Socket): void {
		const far = net.connect(this.#targetPort(), '127.0.0.1');
		const pair: Pair = {near, far, isSilent: false};
		this.#pairs.add(pair);
		this.#forward(pair, near, far);
		this.#forward(pair, far, near);
	}

	#drawDelay(): number {
		const isLost = this.isLossy && this.#random.chance(lossShare);
		return this.delayMilliseconds + (isLost ? this.#random.between(leastResendMilliseconds, mostResendMilliseconds) : 0);
	}

	/** Passes on what one end sends, its end, and its reset as a reset. */
	#forward(pair: Pair, from: net.Socket, to: net.Socket): void {
		const queue: Delivery[] = [];
		const deliverNext = (): void => {
			const next = queue[0];
			if (next === undefined) {
				return;
			}

			setTimeout(() => {
				queue.shift();
				if (!pair.isSilent) {
					next.act();
				}

				deliverNext();
			}, Math.max(0, next.at - performance.now()));
		};

		const deliver = (act: () => void): void => {
			queue.push({at: performance.now() + this.#drawDelay(), act});
			if (queue.length === 1) {
				deliverNext();
			}
		};

		from.on('data', data => {
			deliver(() => to.write(data));
		});
		from.on('end', () => {
			deliver(() => to.end());
		});
		from.on('error', () => {
			deliver(() => to.resetAndDestroy());
		});
		from.on('close', () => {
			if (pair.near.destroyed && pair.far.destroyed) {
				this.#pairs.delete(pair);
			}
		});
	}
}
