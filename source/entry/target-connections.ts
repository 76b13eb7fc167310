/**
Pools the connections of a gateway to its targets, with a limit for each target.
*/
import * as option from 'fp-ts/lib/Option.js';
import {connectionShares} from '../decisions/entry/targets/connection-shares.js';
import type {AnswerPacer} from './answer-pacer.js';
import {requestKey} from './request-key.js';
import {TargetConnection} from './target-connection.js';

type Wanted = {
	readonly address: string;
	/** The request that is to be sent. */
	readonly requestId: string;
	/** Connections that the target accepts from all gateways together. */
	readonly maxConnections: number;
	readonly gateways: number;
	/** True when the caller did not wait for an answer before it sent the request; false when left out. */
	readonly isSentAhead?: boolean;
	readonly now: number;
};

const longestIdle = (connections: readonly TargetConnection[]): TargetConnection => connections.reduce((oldest, connection) => connection.lastUsedAt < oldest.lastUsedAt ? connection : oldest);

/**
Free connections by target address.

The connection that has been idle longest is used first. If a target sends an answer
twice, the second one then arrives while the connection is idle, which closes it, rather
than being taken for the answer to the next request.

A request that is sent to the same target again gets a connection that has not carried it before:
the answer to the earlier attempt, written once more, has the same id as that to the new one.

@example
```
const connection = connections.acquire({address: '10.0.0.9:8080', requestId: '9c41', maxConnections: 370, gateways, now});
```
*/
export class TargetConnections {
	readonly #byAddress = new Map<string, TargetConnection[]>();

	readonly #pacer: AnswerPacer;

	constructor(pacer: AnswerPacer) {
		this.#pacer = pacer;
	}

	/** Returns a free connection; none when this gateway's share of the target's connections is in use, or the part of it that such a request may use. */
	acquire({address, requestId, maxConnections, gateways, isSentAhead = false, now}: Wanted): option.Option<TargetConnection> {
		const connections = this.#byAddress.get(address) ?? [];
		this.#byAddress.set(address, connections);
		const free = connections.filter(connection => !connection.isBusy);
		const shares = connectionShares({maxConnections, gateways});
		if (isSentAhead && connections.length - free.length >= shares.sentAhead) {
			return option.none;
		}

		const key = requestKey(requestId);
		const fitting = free.filter(connection => !connection.hasCarried(key));
		if (fitting.length > 0) {
			return this.#use(longestIdle(fitting), now);
		}

		if (free.length > 0) {
			this.#close(connections, longestIdle(free));
		} else if (connections.length >= shares.all) {
			return option.none;
		}

		const added = new TargetConnection(address, this.#pacer);
		connections.push(added);
		return this.#use(added, now);
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

	#use(connection: TargetConnection, now: number): option.Option<TargetConnection> {
		connection.lastUsedAt = now;
		return option.some(connection);
	}

	#close(connections: TargetConnection[], connection: TargetConnection): void {
		connections.splice(connections.indexOf(connection), 1);
		connection.destroy();
	}
}
