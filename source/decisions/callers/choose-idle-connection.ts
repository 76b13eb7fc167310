/**
Chooses which connection of a caller is closed when a new one comes and no descriptor is left for it.

The load that it addresses: clients open connections and send nothing on them, or stop in the middle
of a request, until new callers cannot connect.

A connection that has brought no request goes first, then one on which nothing is in progress, then
one whose request has not arrived whole, then one whose answer is written and not read. One whose request may be running is never
closed for this. Of equals, the address with most connections gives one up, the one without
activity for longest.
*/

type ConnectionState = {
	readonly address: string;
	readonly phase: 'silent' | 'idle' | 'incoming' | 'answered' | 'running';
	/** When its caller last sent something, or got an answer. */
	readonly activeAt: number;
};

const order: ReadonlyArray<ConnectionState['phase']> = ['silent', 'idle', 'incoming', 'answered'];

const countByAddress = (connections: readonly ConnectionState[]): ReadonlyMap<string, number> => {
	const counts = new Map<string, number>();
	for (const {address} of connections) {
		counts.set(address, (counts.get(address) ?? 0) + 1);
	}

	return counts;
};

/**
Returns the connection to close; none when a request may be running on each.

@example
```
const victim = chooseIdleConnection(connections);
```
*/
export const chooseIdleConnection = <Connection extends ConnectionState>(connections: readonly Connection[]): Connection | undefined => {
	const phase = order.find(candidate => connections.some(connection => connection.phase === candidate));
	if (phase === undefined) {
		return undefined;
	}

	const counts = countByAddress(connections);
	const isBefore = (one: Connection, other: Connection): boolean => {
		const difference = counts.get(one.address)! - counts.get(other.address)!;
		return difference === 0 ? one.activeAt < other.activeAt : difference > 0;
	};

	return connections
		.filter(connection => connection.phase === phase)
		.reduce((first, connection) => isBefore(connection, first) ? connection : first);
};
