/**
Holds the configuration in force in one process and spreads it.

Every process hears of configurations from the store, from its peers, or both,
and passes on what is new to it over the links that it has open.
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
The configuration of one process.

Invariant: the generation in force never decreases while the process lives.

@example
```
const keeper = new ConfigurationKeeper(metrics, document => router.configure(document));
keeper.hear(stored.value, 'store');
```
*/
export class ConfigurationKeeper {
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
	Takes a record from the store or a peer; an unusable or older one changes nothing.
	`from` is the peer that sent it, which need not be sent it back.
	*/
	hear(text: string, source: 'store' | 'peer', from?: Peer): void {
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
			log.error({code: 6003, source, errors: [...errors]}, 'configuration record is not usable; the one in force stays');
		});
	}

	/** Starts exchanging generations with a peer whose link has opened. */
	join(peer: Peer, generation: number): void {
		this.#peers.set(peer, generation);
		this.#offer(peer);
	}

	leave(peer: Peer): void {
		this.#peers.delete(peer);
	}

	/** Takes a peer's word of its own generation and sends it what it lacks, or asks for what this process lacks. */
	peerHas(peer: Peer, generation: number): void {
		this.#peers.set(peer, generation);
		if (generation > this.generation) {
			peer.send({kind: 'generation', generation: this.generation});
			return;
		}

		this.#offer(peer);
	}

	/** One step of anti-entropy with a random peer. */
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
