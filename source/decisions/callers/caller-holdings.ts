/**
Counts the memory that callers make the gateway hold, and chooses whose connection is closed when it is too much.

The load that it addresses: many connections each hold something within the limits of one request,
such as bodies that never end or answers that nobody reads, and together more than the VM has.

What is taken back comes from the client address that holds most, and of its connections from the
one that holds most, of equals from the last one. Requests that are not accepted yet go before answers
that wait for their caller, and those before requests that may be running; requests of which nothing
more comes go first of all. A connection that holds little is spared
while the total is only a little over its limit, so that callers of small requests are served
beside others that hold much.
*/

/** What a connection holds: a request that is not accepted yet, an answer that its caller has not read, or a request that may be running. */
type Kind = 'incoming' | 'answer' | 'accepted';

type Holding = {readonly address: string; readonly bytes: Record<Kind, number>; total: number};

const order: readonly Kind[] = ['incoming', 'answer', 'accepted'];
/** Bytes up to which a connection is spared. */
const smallBytes = 32_768;
/** How far the limit may be exceeded by connections that hold little, as a factor. */
const smallFactor = 1.25;

/**
One instance a process. `limitBytes` is for all connections together.

Invariant: `total` is the sum of what all connections hold.

@example
```
holdings.set(connection, '10.0.0.9', 'incoming', 4_000_000);
const victim = holdings.chooseVictim(isStalled);
```
*/
export class CallerHoldings<Connection> {
	#total = 0;
	readonly #holdings = new Map<Connection, Holding>();
	readonly #byAddress = new Map<string, number>();
	readonly #limitBytes: number;

	constructor(limitBytes: number) {
		this.#limitBytes = limitBytes;
	}

	get total(): number {
		return this.#total;
	}

	get isOver(): boolean {
		return this.#total > this.#limitBytes;
	}

	/** Sets what a connection of this address holds of one kind. */
	set(connection: Connection, address: string, kind: Kind, bytes: number): void {
		const holding = this.#holdings.get(connection) ?? {address, bytes: {incoming: 0, answer: 0, accepted: 0}, total: 0};
		const change = bytes - holding.bytes[kind];
		if (change === 0) {
			return;
		}

		holding.bytes[kind] = bytes;
		holding.total += change;
		this.#add(holding.address, change);
		if (holding.total === 0) {
			this.#holdings.delete(connection);
		} else {
			this.#holdings.set(connection, holding);
		}
	}

	/** Forgets a connection that was closed. */
	remove(connection: Connection): void {
		const holding = this.#holdings.get(connection);
		if (holding !== undefined) {
			this.#holdings.delete(connection);
			this.#add(holding.address, -holding.total);
		}
	}

	/** Bytes that a connection holds. */
	heldBy(connection: Connection): number {
		return this.#holdings.get(connection)?.total ?? 0;
	}

	/** Returns the connection to close; none while the total is within its limit, or when only connections that hold little remain. */
	chooseVictim(isStalled: (connection: Connection) => boolean = () => false): Connection | undefined {
		if (!this.isOver) {
			return undefined;
		}

		const smallest = this.#total > this.#limitBytes * smallFactor ? 0 : smallBytes;
		const all = [...this.#holdings].filter(([, {total}]) => total > smallest);
		const kind = order.find(candidate => all.some(([, {bytes}]) => bytes[candidate] > 0));
		if (kind === undefined) {
			return undefined;
		}

		const ofKind = all.filter(([, {bytes}]) => bytes[kind] > 0);
		const stalled = kind === 'incoming' ? ofKind.filter(([connection]) => isStalled(connection)) : [];
		const candidates = stalled.length > 0 ? stalled : ofKind;
		const mostOfAddress = Math.max(...new Set(candidates.map(([, {address}]) => this.#byAddress.get(address) ?? 0)));
		const [victim] = candidates
			.filter(([, {address}]) => this.#byAddress.get(address) === mostOfAddress)
			.reduce((most, candidate) => candidate[1].total >= most[1].total ? candidate : most);
		return victim;
	}

	#add(address: string, bytes: number): void {
		this.#total += bytes;
		const ofAddress = (this.#byAddress.get(address) ?? 0) + bytes;
		if (ofAddress === 0) {
			this.#byAddress.delete(address);
		} else {
			this.#byAddress.set(address, ofAddress);
		}
	}
}
