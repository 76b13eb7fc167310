/**
Selects the peer that a gateway requests a newer configuration from.

A configuration of some thousand routes takes hundreds of kilobytes. If every peer
sent it unrequested to a gateway that is behind, again at each of that gateway's
digests, about twenty copies would fill a slow link for many seconds and delay urgent
messages, such as that a target is leaving. So the gateway that is behind requests
the configuration from one peer, and from another one only after a timeout.
*/
import {rendezvousOrder} from '../../routing/rendezvous-order.js';

/** How long a gateway that reads the store, or is fed by a reader, waits to receive the configuration that way. */
const unrequestedMilliseconds = 1200;
/** Time for the transfer of one copy over a slow link, after which another peer is asked. */
const transferMilliseconds = 2500;

type Situation = {
	/** Version of the configuration in force here. */
	readonly version: number;
	/** Versions in force at the peers, by the peer's name. */
	readonly peers: ReadonlyMap<string, number>;
	/** The gateway that reads the store for this one, empty when there is none. */
	readonly reader: string;
	/** True while this gateway reads the store itself or is fed by a reader. */
	readonly isSupplied: boolean;
};

/**
Invariant: at most one peer is asked within the time that the transfer of one copy takes.

@example
```
const peer = selector.next({version: 4, peers, reader, isSupplied: false}, clock());
if (peer !== undefined) {
	peers.send(peer, {kind: 'want', subject: 'configuration'});
}
```
*/
export class ConfigurationPeerSelector {
	#behindSince: number | undefined;
	#asked: {readonly peer: string; readonly at: number} | undefined;
	readonly #ownName: string;

	constructor(ownName: string) {
		this.#ownName = ownName;
	}

	/** Returns the peer to ask now, if any. */
	next({version, peers, reader, isSupplied}: Situation, now: number): string | undefined {
		const newer = [...peers].filter(([, announced]) => announced > version).map(([peer]) => peer);
		if (newer.length === 0) {
			this.#behindSince = undefined;
			this.#asked = undefined;
			return undefined;
		}

		this.#behindSince ??= now;
		const isPending = this.#asked !== undefined && now - this.#asked.at < transferMilliseconds && peers.has(this.#asked.peer);
		if (isPending || (isSupplied && now - this.#behindSince < unrequestedMilliseconds)) {
			return undefined;
		}

		const previous = this.#asked?.peer;
		const others = newer.filter(peer => peer !== previous);
		const candidates = others.length > 0 ? others : newer;
		const peer = candidates.includes(reader) ? reader : rendezvousOrder(this.#ownName, candidates)[0]!;
		this.#asked = {peer, at: now};
		return peer;
	}
}
