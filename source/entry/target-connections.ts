/**
Connections of a gateway to its targets, bounded for each target.
*/
import * as option from 'fp-ts/lib/Option.js';
import {TargetConnection} from './target-connection.js';

/** Part of a target's connections that all gateways together use. */
const usedPart = 0.9;

/**
Hands out free connections by target address.

The connection that was idle longest comes first: an answer that arrives twice
arrives while its connection is idle, and closes it.

@example
```
const connection = connections.take('10.0.0.9:8080', 370, gateways);
```
*/
export class TargetConnections {
	readonly #byAddress = new Map<string, TargetConnection[]>();

	/** A free connection, none when this gateway has its part of the target's connections in use. */
	take(address: string, mostConnections: number, gateways: number, now: number): option.Option<TargetConnection> {
		const connections = this.#byAddress.get(address) ?? [];
		this.#byAddress.set(address, connections);
		const free = connections.filter(connection => !connection.isBusy);
		if (free.length > 0) {
			const chosen = free.reduce((oldest, connection) => connection.lastUsedAt < oldest.lastUsedAt ? connection : oldest);
			chosen.lastUsedAt = now;
			return option.some(chosen);
		}

		if (connections.length >= Math.max(1, Math.floor(mostConnections * usedPart / Math.max(1, gateways)))) {
			return option.none;
		}

		const added = new TargetConnection(address);
		added.lastUsedAt = now;
		connections.push(added);
		return option.some(added);
	}

	/** Closes connections to addresses that no target has any more, once they carry nothing. */
	keepOnly(addresses: ReadonlySet<string>): void {
		for (const [address, connections] of this.#byAddress) {
			if (addresses.has(address)) {
				continue;
			}

			for (const connection of connections.filter(({isBusy}) => !isBusy)) {
				connection.destroy();
			}

			const busy = connections.filter(({isBusy}) => isBusy);
			if (busy.length === 0) {
				this.#byAddress.delete(address);
			} else {
				this.#byAddress.set(address, busy);
			}
		}
	}

	/** Forgets a connection that was destroyed. */
	discard(address: string, connection: TargetConnection): void {
		const connections = this.#byAddress.get(address);
		if (connections !== undefined) {
			this.#byAddress.set(address, connections.filter(other => other !== connection));
		}
	}

	/** Connections opened so far to targets that are still known. */
	opened(): number {
		return [...this.#byAddress.values()].flat().reduce((sum, connection) => sum + connection.opened, 0);
	}

	close(): void {
		for (const connection of [...this.#byAddress.values()].flat()) {
			connection.destroy();
		}
	}
}
