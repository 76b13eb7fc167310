/**
Decides whether a gateway reads the store itself, or is told by another that does.

The load it answers: each gateway that reads several times a second is cheap as
long as there are five. With thirty their calls cost more than all machines, and
with some hundred the store would turn them away. So in a large fleet a few read,
each of the others is told by one of them, and reads itself only while it is not.
Those whose links carry most read, as a reader sends all that is new to a third of
the fleet: on a slow link its words would wait behind whole configurations.

What is told is as good as what is read: the reader sends each change at once, and
says five times a second when it last read and which list it holds. Only a gateway
that holds the same list counts that word; without it a gateway reads, so that what
it believes is never older than a little over a second while the store answers.
*/
import {rendezvousOrder} from '../routing/rendezvous-order.js';

/** Up to this many gateways all read. */
const mostWithoutFeed = 6;
const readers = 3;
/** Age of what was told from which on a gateway reads itself. */
const oldestMilliseconds = 1250;

type Gateway = {readonly name: string; readonly linkMegabits: number};

/**
What one gateway is told by the reader that it relies on.

Invariant: `isFed` is true only while the reader has said, since it was chosen, that
it read the list in force here a short while ago.

@example
```
const feed = new StoreFeed({name: 'gateway-9', linkMegabits: 1000});
feed.update(peers.members);
if (!feed.isFed(clock())) { await reader.read(); }
```
*/
export class StoreFeed {
	#reader = '';
	#readAt = Number.NEGATIVE_INFINITY;
	readonly #own: Gateway;

	constructor(own: Gateway) {
		this.#own = own;
	}

	/** The gateway that is relied on, empty when this one reads itself. */
	get reader(): string {
		return this.#reader;
	}

	/** When what was told was read. */
	get readAt(): number {
		return this.#readAt;
	}

	/** Chooses anew as gateways come and go. */
	update(peers: readonly Gateway[]): void {
		const links = new Map([this.#own, ...peers].map(({name, linkMegabits}) => [name, linkMegabits]));
		const first = rendezvousOrder('reads the store', [...links.keys()])
			.toSorted((one, other) => links.get(other)! - links.get(one)!)
			.slice(0, readers);
		const {name} = this.#own;
		const reader = links.size <= mostWithoutFeed || first.includes(name) ? '' : rendezvousOrder(name, first)[0] ?? '';
		if (reader !== this.#reader) {
			this.#reader = reader;
			this.#readAt = Number.NEGATIVE_INFINITY;
		}
	}

	/** Records when a gateway last found in the store what is in force here. */
	hear(peer: string, readAt: number): void {
		if (peer === this.#reader) {
			this.#readAt = readAt;
		}
	}

	/** Forgets a gateway that cannot be reached. */
	lost(peer: string): void {
		if (peer === this.#reader) {
			this.#readAt = Number.NEGATIVE_INFINITY;
		}
	}

	isFed(now: number): boolean {
		return this.#reader !== '' && now - this.readAt < oldestMilliseconds;
	}
}
