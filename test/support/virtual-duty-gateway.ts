/**
One gateway's duties in virtual time, with a process that may be frozen or killed and a wall clock that may jump.
*/
import {Duties} from '../../source/duties/duties.js';
import type {PeerMessage} from '../../source/generated/peer-messages.js';
import type {LoneGateway} from './lone-gateway.js';
import type {VirtualDutyPlatform} from './virtual-duty-platform.js';
import type {VirtualLeaseStore} from './virtual-lease-store.js';
import type {VirtualLinks} from './virtual-links.js';
import {VirtualProcess} from './virtual-process.js';
import type {VirtualTime} from './virtual-time.js';

type GatewayOptions = {
	readonly name: string;
	readonly incarnation: number;
	readonly time: VirtualTime;
	readonly links: VirtualLinks;
	readonly store: VirtualLeaseStore;
	readonly platform: VirtualDutyPlatform;
	readonly random: () => number;
	/** Difference of the wall clock from true time, in milliseconds. */
	readonly skewMilliseconds: number;
	/** Until when nothing passes between this gateway and another one. */
	readonly cutUntil: (peer: string) => number;
	readonly digestOf: typeof LoneGateway.digestOf;
	readonly onLog: (line: Readonly<Record<string, unknown>>) => void;
};

type Chances = {silent: number; lostAnswer: number; late: number};

/** True time at the start, in Unix milliseconds; not the start of a window. */
const startMilliseconds = 1_700_000_003_210;
const digestMilliseconds = 600;
const settings = {
	address: '10.0.0.1:1', callsPerSecond: 50, leaseMilliseconds: 3000, windowMilliseconds: 5000, dueMilliseconds: 10_000,
};

/**
One instance a process.

@example
```
const gateway = new VirtualDutyGateway(options);
gateway.process.frozenUntil = time.now + 4000;
```
*/
export class VirtualDutyGateway {
	static readonly settings = settings;
	static readonly startMilliseconds = startMilliseconds;
	readonly name: string;
	readonly process: VirtualProcess;
	readonly duties: Duties;
	jumpMilliseconds = 0;
	peersCutUntil = 0;
	storeCutUntil = 0;
	platformCutUntil = 0;
	/** Chances of faults of single calls to the store and to the platform. */
	readonly chances: Chances = {silent: 0, lostAnswer: 0, late: 0};
	readonly #options: GatewayOptions;
	/** The monotonic clock starts anywhere. */
	readonly #clockStart: number;
	readonly #stops: Array<() => void> = [];
	#isAlive = true;

	constructor(options: GatewayOptions) {
		const {name, incarnation, time, links, store, platform, random, onLog} = options;
		this.#options = options;
		this.name = name;
		this.#clockStart = random() * 1_000_000;
		this.process = new VirtualProcess(time);
		const line = (facts: unknown): void => {
			onLog({at: time.now, gateway: name, ...(facts as Readonly<Record<string, unknown>>)});
		};

		this.duties = new Duties({
			name,
			incarnation: `${incarnation}`,
			settings,
			store: store.port({fault: () => this.#fault(this.storeCutUntil, 'silent'), run: this.process.run}),
			duties: platform.port({fault: () => this.#fault(this.platformCutUntil, 'cut'), run: this.process.run}),
			peers: () => links.peersOf(name),
			send: (peer, message) => {
				if (this.#isAlive) {
					links.send(name, peer, message);
				}
			},
			log: {info: line, warn: line},
			metrics: {count() {/* Not judged. */}, gauge() {/* Not judged. */}},
			now: () => this.now,
			wallClock: () => startMilliseconds + time.now + options.skewMilliseconds + this.jumpMilliseconds,
			timers: {every: (milliseconds, act) => this.#every(milliseconds, act)},
		});
		this.#join();
		this.duties.start();
	}

	/** The monotonic clock. */
	get now(): number {
		return this.#clockStart + this.#options.time.now;
	}

	get isFrozen(): boolean {
		return this.process.frozenUntil > this.#options.time.now;
	}

	kill(): void {
		this.#isAlive = false;
		this.process.kill();
		for (const stop of this.#stops) {
			stop();
		}

		this.#options.links.remove(this.name);
	}

	#join(): void {
		const {name, incarnation, links, random, digestOf} = this.#options;
		links.add({
			name,
			incarnation: `${incarnation}`,
			receive: (peer, message) => {
				this.#receive(peer, message);
			},
			lost: peer => {
				this.duties.removePeer(peer);
			},
			run: this.process.run,
			isAway: () => this.isFrozen,
			delay: () => random() * 4,
			cutUntil: this.#options.cutUntil,
		}, random() * 100);
		this.#every(digestMilliseconds, () => {
			const digest = digestOf({wallTime: this.duties.wallTime});
			for (const peer of links.peersOf(name)) {
				links.send(name, peer, digest);
			}
		});
	}

	#receive(peer: string, message: PeerMessage): void {
		switch (message.kind) {
			case 'hello': {
				this.duties.addPeer(peer, message.incarnation);
				return;
			}

			case 'digest': {
				this.duties.recordWallTime(peer, message.wallTime!);
				return;
			}

			case 'usage':
			case 'duty':
			case 'reports': {
				this.duties.receive(peer, message);
				return;
			}

			case 'ask':
			case 'answer':
			case 'read':
			case 'fresh':
			case 'crashes':
			case 'want':
			case 'zone load':
			case 'rate limit':
			case 'permit ask':
			case 'permits':
			case 'targets':
			case 'configuration': {
				throw new Error(`unexpected message ${message.kind}`);
			}
		}
	}

	#every(milliseconds: number, act: () => void): () => void {
		let isStopped = false;
		const again = (): void => {
			this.process.after(milliseconds, () => {
				if (!isStopped) {
					again();
					act();
				}
			});
		};

		again();
		const stop = (): void => {
			isStopped = true;
		};

		this.#stops.push(stop);
		return stop;
	}

	#fault<Cut extends string>(cutUntil: number, cut: Cut): Cut | 'none' | 'lost answer' | 'late' {
		const {time, random} = this.#options;
		const draw = random();
		const {silent, lostAnswer, late} = this.chances;
		if (cutUntil > time.now || draw < silent) {
			return cut;
		}

		if (draw < silent + lostAnswer) {
			return 'lost answer';
		}

		return draw < silent + lostAnswer + late ? 'late' : 'none';
	}
}
