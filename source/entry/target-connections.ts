/**
Pools the connections of a gateway to its targets, with a limit for each target.
*/
import * as option from 'fp-ts/lib/Option.js';
import type {AnswerPacer} from './answer-pacer.js';
import {TargetConnection} from './target-connection.js';

/** Share of a target's connection limit that all gateways together use. */
const usableShare = 0.9;

/**
Free connections by target address.

The connection that has been idle longest is used first. If a target sends an answer
twice, the second one then arrives while the connection is idle, which closes it, rather
than being taken for the answer to the next request.

@example
```
const connection = connections.acquire('10.0.0.9:8080', 370, gateways, now);
```
*/
export class TargetConnections {
	readonly #byAddress = new Map<string, TargetConnection[]>();
	readonly #pacer: AnswerPacer;

	constructor(pacer: AnswerPacer) {
		this.#pacer = pacer;
	}

	/** Returns a free connection; none when this gateway's share of the target's connections is in use. */
	acquire(address: string, maxConnections: number, gateways: number, now: number): option.Option<TargetConnection> {
		const connections = this.#byAddress.get(address) ?? [];
		this.#byAddress.set(address, connections);
		const free = connections.filter(connection => !connection.isBusy);
		if (free.length > 0) {
			const chosen = free.reduce((oldest, connection) => connection.lastUsedAt < oldest.lastUsedAt ? connection : oldest);
			chosen.lastUsedAt = now;
			return option.some(chosen);
		}

		if (connections.length >= Math.max(1, Math.floor(maxConnections * usableShare / Math.max(1, gateways)))) {
			return option.none;
		}

		const added = new TargetConnection(address, this.#pacer);
		added.lastUsedAt = now;
		connections.push(added);
		return option.some(added);
	}

	/** Closes connections to addresses that no target has any more; busy ones are closed by a later call, once they are free. */
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

	/** Removes a connection that was destroyed. */
	discard(address: string, connection: TargetConnection): void {
		const connections = this.#byAddress.get(address);
		if (connections !== undefined) {
			this.#byAddress.set(address, connections.filter(other => other !== connection));
		}
	}

	/** Number of times that connections to targets that are still known have been opened. */
	opened(): number {
		return [...this.#byAddress.values()].flat().reduce((sum, connection) => sum + connection.opened, 0);
	}

	close(): void {
		for (const connection of [...this.#byAddress.values()].flat()) {
			connection.destroy();
		}
	}
}
