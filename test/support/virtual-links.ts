/**
Links between gateways in virtual time: in order, slow or cut for a while, given
up in silence, and opened again.
*/
import type {PeerMessage} from '../../source/generated/peer-messages.js';
import type {VirtualTime} from './virtual-time.js';

type End = {
	readonly name: string;
	readonly incarnation: string;
	readonly receive: (peer: string, message: PeerMessage) => void;
	readonly lost: (peer: string) => void;
	/** When an event that is due now is run here, as a frozen process runs it later. */
	readonly run: (act: () => void) => void;
	/** True while the process neither reads nor dials. */
	readonly isAway: () => boolean;
	/** What this machine's link adds to each message that leaves it. */
	readonly delay: () => number;
	/** Until when nothing passes between this machine and another one. */
	readonly cutUntil: (peer: string) => number;
};

type Side = {readonly link: number; heardAt: number};

const wayMilliseconds = 1;
const silentMilliseconds = 1800;
const checkMilliseconds = 300;
const dialMilliseconds = 700;

/**
Invariant: what arrives on one link arrives in the order in which it was sent.

@example
```
links.add(end);
links.send('gateway-1', 'gateway-2', message);
```
*/
export class VirtualLinks {
	#number = 0;
	readonly #time: VirtualTime;
	readonly #ends = new Map<string, End>();
	/** By owner and peer: the link that the owner holds for open. */
	readonly #sides = new Map<string, Map<string, Side>>();
	/** By link and direction: when the last message arrives. */
	readonly #arrivals = new Map<string, number>();

	constructor(time: VirtualTime) {
		this.#time = time;
	}

	/** Adds a process, in place of a former one of that name. */
	add(end: End, phase: number): void {
		this.remove(end.name);
		this.#ends.set(end.name, end);
		this.#sides.set(end.name, new Map());
		this.#time.after(phase, () => {
			this.#repeat(end, dialMilliseconds, () => {
				this.#dialAll(end);
			});
			this.#repeat(end, checkMilliseconds, () => {
				this.#checkAll(end);
			});
		});
	}

	/** Ends a process; its peers see their links closed. */
	remove(name: string): void {
		for (const [peer, {link}] of this.#sides.get(name) ?? []) {
			this.#closeLater(name, peer, link);
		}

		this.#ends.delete(name);
		this.#sides.delete(name);
	}

	peersOf(name: string): readonly string[] {
		return [...this.#sides.get(name)?.keys() ?? []];
	}

	send(from: string, to: string, message: PeerMessage): void {
		const side = this.#sides.get(from)?.get(to);
		if (side !== undefined) {
			this.#deliver(from, to, side.link, receiver => {
				const open = this.#sides.get(to)?.get(from);
				if (open?.link === side.link) {
					open.heardAt = this.#time.now;
					receiver.receive(from, message);
				}
			});
		}
	}

	#repeat(end: End, milliseconds: number, act: () => void): void {
		const cancel = this.#time.every(milliseconds, () => {
			if (this.#ends.get(end.name) !== end) {
				cancel();
			} else if (!end.isAway()) {
				act();
			}
		});
	}

	#dialAll(end: End): void {
		for (const [name, peer] of this.#ends) {
			const isLinked = name === end.name || this.#sides.get(end.name)?.has(name);
			if (!isLinked && !peer.isAway() && end.cutUntil(name) <= this.#time.now) {
				this.#open(end, peer);
			}
		}
	}

	#open(first: End, second: End): void {
		this.#number++;
		const link = this.#number;
		for (const [owner, peer] of [[first, second], [second, first]] as const) {
			this.#sides.get(owner.name)?.set(peer.name, {link, heardAt: this.#time.now});
			this.send(peer.name, owner.name, {
				kind: 'hello', name: peer.name, incarnation: peer.incarnation, address: '10.0.0.1:1', availabilityZone: 'a', linkMegabits: 1000,
			});
		}
	}

	#checkAll(end: End): void {
		for (const [peer, {link, heardAt}] of this.#sides.get(end.name) ?? []) {
			if (this.#time.now - heardAt > silentMilliseconds) {
				this.#sides.get(end.name)?.delete(peer);
				end.lost(peer);
				this.#closeLater(end.name, peer, link);
			}
		}
	}

	#closeLater(from: string, to: string, link: number): void {
		this.#deliver(from, to, link, receiver => {
			if (this.#sides.get(to)?.get(from)?.link === link) {
				this.#sides.get(to)?.delete(from);
				receiver.lost(from);
			}
		});
	}

	#deliver(from: string, to: string, link: number, act: (receiver: End) => void): void {
		const key = `${link} ${from}`;
		const sender = this.#ends.get(from);
		const cutUntil = sender?.cutUntil(to) ?? 0;
		const at = Math.max(this.#time.now + wayMilliseconds + (sender?.delay() ?? 0), cutUntil, this.#arrivals.get(key) ?? 0);
		this.#arrivals.set(key, at);
		const receiver = this.#ends.get(to);
		if (receiver === undefined) {
			return;
		}

		this.#time.after(at - this.#time.now, () => {
			receiver.run(() => {
				act(receiver);
			});
		});
	}
}
