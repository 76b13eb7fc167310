/**
Which configuration a gateway obeys, and how sure it is that there is no newer one.

Invariant: the version only rises within one incarnation of the process.
*/
import type {FleetConfiguration} from '../../fleet/fleet-configuration.js';
import {RouteTable} from './route-table.js';

/** Time after a successful read of the store within which nothing newer can be in force unseen. */
const sureMilliseconds = 1500;

type Source = 'store' | 'peer';

/**
Adopts newer configurations from any source.

@example
```
if (inForce.adopt(configuration)) {
	log.info({version: inForce.version}, 'configuration adopted');
}
```
*/
export class ConfigurationInForce {
	#current: FleetConfiguration | undefined;
	#routes = new RouteTable([]);
	#confirmedAt = Number.NEGATIVE_INFINITY;

	get current(): FleetConfiguration | undefined {
		return this.#current;
	}

	/** 0 before the first. */
	get version(): number {
		return this.#current?.version ?? 0;
	}

	get routes(): RouteTable {
		return this.#routes;
	}

	/** Takes a configuration that was asked for at `readAt`; true when it is newer than the one in force. */
	adopt(configuration: FleetConfiguration, source: Source, readAt: number): boolean {
		if (source === 'store') {
			this.#confirmedAt = Math.max(this.#confirmedAt, readAt);
		}

		if (this.#current !== undefined && configuration.version <= this.#current.version) {
			return false;
		}

		this.#current = configuration;
		this.#routes = new RouteTable(configuration.routes);
		return true;
	}

	/** Takes the word of a gateway that read the store then and found the version that is in force here. */
	confirm(version: number, readAt: number): void {
		if (version === this.version) {
			this.#confirmedAt = Math.max(this.#confirmedAt, readAt);
		}
	}

	/** True when a route that is not there can be said not to exist. */
	isSure(now: number): boolean {
		return this.#current !== undefined && now - this.#confirmedAt < sureMilliseconds;
	}
}
