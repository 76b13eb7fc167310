/**
Decides which connection goes on when many bring more work than a turn of the event loop has time for.

The load that it addresses: many connections send requests one after the other without waiting for
answers, or bodies in chunks of one byte. Each step is cheap, but together they take all of the
event loop's time from callers that wait for an answer before they send the next request.

A step is the next request of a connection, when it came before the former one was answered, or
the next 4 KB of a finely cut body. In each turn of the event loop only a few steps are taken, in
all, and the connections take turns. A request that comes when its connection has nothing else to do
needs none. The number bounds how long a turn of the loop lasts, not how much is served: an idle loop
turns as often as there is work.
*/

/** Steps in one turn of the event loop. */
const maxSteps = 8;

/**
One instance a process.

@example
```
turns.ask(connection);
const [next] = turns.takeNext(); // the connection that has waited longest
```
*/
export class CallerTurns<Connection> {
	readonly #waiting = new Set<Connection>();

	/** Connections that wait for a turn. */
	get waitingCount(): number {
		return this.#waiting.size;
	}

	/** Puts a connection behind those that wait; one that waits keeps its place. */
	ask(connection: Connection): void {
		this.#waiting.add(connection);
	}

	/** Returns the connections whose turn it is, those that have waited longest. */
	takeNext(): readonly Connection[] {
		const iterator = this.#waiting.values();
		const next = Array.from({length: Math.min(maxSteps, this.#waiting.size)}, () => iterator.next().value as Connection);
		for (const connection of next) {
			this.#waiting.delete(connection);
		}

		return next;
	}

	/** Forgets a connection that was closed. */
	remove(connection: Connection): void {
		this.#waiting.delete(connection);
	}
}
