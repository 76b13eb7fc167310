/**
Holds the configuration in force at a gateway, and when it was last confirmed to be the newest one.

A store that comes back from an older copy may have lost configurations that operators were
told are accepted. Operators write them again. Until they have had the time to, what the
store returns does not confirm that a configuration is the newest one.

Invariant: within one incarnation of the process, the version only increases.
*/
import type {FleetConfiguration} from '../../../fleet/fleet-configuration.js';
import {TeamKeys} from '../../teams/team-keys.js';
import {UrgencyLevels} from '../../teams/urgency-levels.js';
import {RouteTable} from '../requests/route-table.js';

/** Time after a successful read of the store during which the configuration counts as the newest one. */
const freshMilliseconds = 1500;

/** Time after the return of a store within which operators write again what it has lost. */
const rewriteMilliseconds = 2000;

type Source = 'store' | 'peer';

/**
Adopts newer configurations from any source.

@example
```
if (inForce.adopt(configuration, 'store', readAt)) {
	log.info({version: inForce.version}, 'configuration adopted');
}
```
*/
export class ConfigurationInForce {
	#current: FleetConfiguration | undefined;
	#routes = new RouteTable([]);
	#teamKeys = new TeamKeys(undefined);
	#urgencyLevels = new UrgencyLevels({routes: []});
	#confirmedAt = Number.NEGATIVE_INFINITY;
	/** Reads before this time confirm nothing, because the store has just come back from an older copy. */
	#unconfirmedUntil = Number.NEGATIVE_INFINITY;

	get current(): FleetConfiguration | undefined {
		return this.#current;
	}

	/** 0 before the first configuration is adopted. */
	get version(): number {
		return this.#current?.version ?? 0;
	}

	get routes(): RouteTable {
		return this.#routes;
	}

	get teamKeys(): TeamKeys {
		return this.#teamKeys;
	}

	get urgencyLevels(): UrgencyLevels {
		return this.#urgencyLevels;
	}

	/** Adopts a configuration that was requested at `readAt`, if it is newer than the one in force; true when it is. */
	adopt(configuration: FleetConfiguration, source: Source, readAt: number): boolean {
		if (source === 'store' && configuration.version >= this.version) {
			this.#confirmedAt = Math.max(this.#confirmedAt, readAt);
		}

		if (this.#current !== undefined && configuration.version <= this.#current.version) {
			return false;
		}

		this.#current = configuration;
		this.#routes = new RouteTable(configuration.routes);
		this.#teamKeys = new TeamKeys(configuration.teams);
		this.#urgencyLevels = new UrgencyLevels(configuration);
		return true;
	}

	/** Records that another gateway read the store at `readAt` and found this version there. */
	confirm(version: number, readAt: number): void {
		if (version === this.version) {
			this.#confirmedAt = Math.max(this.#confirmedAt, readAt);
		}
	}

	/** Records that the store came back from an older copy at `restoredAt`. */
	recordRestore(restoredAt: number): void {
		this.#unconfirmedUntil = Math.max(this.#unconfirmedUntil, restoredAt + rewriteMilliseconds);
	}

	/** Milliseconds since the version in force was last found to be the newest one. */
	confirmedAge(now: number): number {
		return now - this.#confirmedAt;
	}

	/** True when a route that is not in the table can be reported as nonexistent, and a key as unknown. */
	isFresh(now: number): boolean {
		return this.#current !== undefined && this.#confirmedAt >= this.#unconfirmedUntil && now - this.#confirmedAt < freshMilliseconds;
	}
}
