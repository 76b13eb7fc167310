/**
Decides whom a gateway asks for a configuration that it lacks.

The load it answers: a configuration of some thousand routes weighs hundreds of
kilobytes. Sent unasked by every peer to a gateway that lags, again at each of its
digests, a score of copies fills a slow link for many seconds; words that must not
wait, as that a target leaves, wait behind them. So the gateway that lags asks one
peer, and another one only when the first has had its time.
*/
import {rendezvousOrder} from '../routing/rendezvous-order.js';

/** How long a gateway that is told or reads the store waits for what is on its way by itself. */
const ownWayMilliseconds = 1200;
/** Time for one copy over a slow link, after which another peer is asked. */
const copyMilliseconds = 2500;

type Situation = {
	/** Version in force here. */
	readonly version: number;
	/** Versions that peers have said to be in force at them. */
	readonly peers: ReadonlyMap<string, number>;
	/** The gateway that reads the store for this one, empty when there is none. */
	readonly reader: string;
	/** True while this gateway is told what the store says, or reads it. */
	readonly isSupplied: boolean;
};

/**
Invariant: at most one peer is asked within the time that one copy takes.

@example
```
const peer = want.next({version: 4, peers, reader, isSupplied: false}, clock());
if (peer !== undefined) {
	peers.send(peer, {kind: 'want', subject: 'configuration'});
}
```
*/
export class ConfigurationWant {
	#laggingSince: number | undefined;
	#asked: {readonly peer: string; readonly at: number} | undefined;
	readonly #own: string;

	constructor(own: string) {
		this.#own = own;
	}

	/** The peer to ask now, if any. */
	next({version, peers, reader, isSupplied}: Situation, now: number): string | undefined {
		const newer = [...peers].filter(([, announced]) => announced > version).map(([peer]) => peer);
		if (newer.length === 0) {
			this.#laggingSince = undefined;
			this.#asked = undefined;
			return undefined;
		}

		this.#laggingSince ??= now;
		const isOnItsWay = this.#asked !== undefined && now - this.#asked.at < copyMilliseconds && peers.has(this.#asked.peer);
		if (isOnItsWay || (isSupplied && now - this.#laggingSince < ownWayMilliseconds)) {
			return undefined;
		}

		const former = this.#asked?.peer;
		const others = newer.filter(peer => peer !== former);
		const candidates = others.length > 0 ? others : newer;
		const peer = candidates.includes(reader) ? reader : rendezvousOrder(this.#own, candidates)[0]!;
		this.#asked = {peer, at: now};
		return peer;
	}
}
