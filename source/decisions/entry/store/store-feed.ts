/**
Decides whether a gateway reads the store itself or is fed by another gateway that does.

Reads by every gateway, several times a second, are cheap with five gateways. With
thirty, their calls cost more than all machines, and with some hundred the store would
reject them. So in a large fleet a few gateways are readers; each of the others is fed
by one of them, and reads the store itself only while it is not fed. The gateways with
the largest link bandwidth are the readers, because a reader sends every update to a
third of the fleet: on a slow link, its messages would wait behind whole configurations.

Fed data is as fresh as data read from the store: the reader sends each change at once,
and reports five times a second when it last read and which list it holds. The report
counts only if the gateway holds the same list; otherwise the gateway reads the store
itself. So while the store answers, the state of a gateway is never older than a little
over a second.
*/
import {rendezvousOrder} from '../../routing/rendezvous-order.js';

/** Up to this many gateways, all of them read the store. */
const maxGatewaysWithoutFeed = 6;
const readerCount = 3;
/** A gateway reads the store itself once the last report of its reader is this old. */
const maxAgeMilliseconds = 1250;

type Gateway = {readonly name: string; readonly linkMegabits: number};

/**
The reader that feeds one gateway, and when it last read the store.

Invariant: `isFed` is true only if the reader, since it was selected, has reported a
recent read that found the list this gateway holds.

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

	/** The gateway that feeds this one, empty when this one is a reader itself. */
	get reader(): string {
		return this.#reader;
	}

	/** When the reader last read the store, as far as it has reported. */
	get readAt(): number {
		return this.#readAt;
	}

	/** Selects the reader again as gateways join and leave. */
	update(peers: readonly Gateway[]): void {
		const links = new Map([this.#own, ...peers].map(({name, linkMegabits}) => [name, linkMegabits]));
		const readers = rendezvousOrder('reads the store', [...links.keys()])
			.toSorted((one, other) => links.get(other)! - links.get(one)!)
			.slice(0, readerCount);
		const {name} = this.#own;
		const reader = links.size <= maxGatewaysWithoutFeed || readers.includes(name) ? '' : rendezvousOrder(name, readers)[0] ?? '';
		if (reader !== this.#reader) {
			this.#reader = reader;
			this.#readAt = Number.NEGATIVE_INFINITY;
		}
	}

	/** Records that a gateway read the store at `readAt` and found the list that this gateway holds. */
	confirm(peer: string, readAt: number): void {
		if (peer === this.#reader) {
			this.#readAt = readAt;
		}
	}

	/** Discards the reports of a gateway that cannot be reached. */
	discard(peer: string): void {
		if (peer === this.#reader) {
			this.#readAt = Number.NEGATIVE_INFINITY;
		}
	}

	isFed(now: number): boolean {
		return this.#reader !== '' && now - this.readAt < maxAgeMilliseconds;
	}
}
