/**
Holds the configuration in force in one process and spreads it to peers by gossip.

Every process receives configurations from the store, from its peers, or both,
and forwards a new one over its open links.
*/
import * as option from 'fp-ts/lib/Option.js';
import {adoptConfiguration} from '../decisions/configuration/adopt-configuration.js';
import type {AcceptedConfiguration} from '../decisions/configuration/accepted-configuration.js';
import type {Configuration} from '../generated/configuration.js';
import type {Message} from '../generated/messages.js';
import {catchInvariantError} from '../shared/catch-invariant-error.js';
import {logger} from '../shared/logger.js';
import type {Metrics} from '../shared/metrics.js';
import {parseAccepted} from './parse-accepted.js';

type Peer = {readonly send: (message: Message) => boolean};
type Listener = (document: Configuration, accepted: AcceptedConfiguration) => void;

const log = logger.child({module: 'configuration'});

/**
One process's copy of the accepted configuration.

Invariant: the generation in force never decreases while the process runs.

@example
```
const replica = new ConfigurationReplica(metrics, document => router.configure(document));
replica.receive(stored.value, 'store');
```
*/
export class ConfigurationReplica {
	#inForce: option.Option<AcceptedConfiguration> = option.none;
	#text = '';
	readonly #metrics: Metrics;
	readonly #onAdopted: Listener;
	readonly #peers = new Map<Peer, number>();

	constructor(metrics: Metrics, onAdopted: Listener) {
		this.#metrics = metrics;
		this.#onAdopted = onAdopted;
	}

	/** Generation in force; 0 before the first. */
	get generation(): number {
		return option.isSome(this.#inForce) ? this.#inForce.value.generation : 0;
	}

	get accepted(): option.Option<AcceptedConfiguration> {
		return this.#inForce;
	}

	/**
	Handles a record from the store or a peer. An invalid or older record changes nothing.
	`from` is the peer that sent the record, so that it is not sent back to that peer.
	*/
	receive(text: string, source: 'store' | 'peer', from?: Peer): void {
		if (text === this.#text) {
			return;
		}

		parseAccepted(text).match(({accepted, document}) => {
			if (from !== undefined && this.#peers.has(from)) {
				this.#peers.set(from, accepted.generation);
			}

			this.#adopt(text, accepted, document, source);
		}, errors => {
			this.#metrics.count(`configuration.malformed.${source}`);
			log.error({code: 6003, source, errors: [...errors]}, 'configuration record is invalid; the configuration in force stays');
		});
	}

	/** Adds a peer whose link has opened and sends it the configuration if its generation is older. */
	addPeer(peer: Peer, generation: number): void {
		this.#peers.set(peer, generation);
		this.#offer(peer);
	}

	removePeer(peer: Peer): void {
		this.#peers.delete(peer);
	}

	/** Handles the generation that a peer reports. Sends the peer a newer configuration, or requests the peer's when that one is newer. */
	receiveGeneration(peer: Peer, generation: number): void {
		this.#peers.set(peer, generation);
		if (generation > this.generation) {
			peer.send({kind: 'generation', generation: this.generation});
			return;
		}

		this.#offer(peer);
	}

	/** One round of anti-entropy: sends this process's generation to a random peer. */
	exchange(random: () => number): void {
		const peers = [...this.#peers.keys()];
		peers[Math.floor(random() * peers.length)]?.send({kind: 'generation', generation: this.generation});
	}

	#offer(peer: Peer): void {
		if (this.generation > (this.#peers.get(peer) ?? 0) && peer.send({kind: 'configuration', generation: this.generation, document: this.#text})) {
			this.#peers.set(peer, this.generation);
		}
	}

	#adopt(text: string, accepted: AcceptedConfiguration, document: Configuration, source: string): void {
		let isNew = false;
		catchInvariantError(this.#metrics, {source}, () => {
			isNew = adoptConfiguration(this.#inForce, accepted) === 'adopt';
		});
		if (!isNew) {
			return;
		}

		this.#inForce = option.some(accepted);
		this.#text = text;
		this.#metrics.gauge('configuration.generation', accepted.generation);
		log.info({generation: accepted.generation, source}, 'configuration adopted');
		this.#onAdopted(document, accepted);
		for (const [peer, generation] of this.#peers) {
			if (generation < accepted.generation) {
				this.#offer(peer);
			} else {
				peer.send({kind: 'generation', generation: accepted.generation});
			}
		}
	}
}
