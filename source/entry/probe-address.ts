/**
Finds out whether anything listens at an address, by opening a connection and closing it again.
*/
import net from 'node:net';

/** Enough for an address that can be reached at all. */
const timeoutMilliseconds = 600;

type Reachability =
	/** Something accepts connections there. */
	| 'open'
	/** The host answers that nothing listens at the port. */
	| 'refused'
	/** No answer, or an error that says nothing about the process behind the port. */
	| 'unknown';

/**
Resolves within `timeoutMilliseconds` and never rejects.

@example
```
await probeAddress('10.1.64.9:8080'); // 'refused'
```
*/
export const probeAddress = async (address: string): Promise<Reachability> => new Promise(resolve => {
	const separator = address.lastIndexOf(':');
	const socket = net.connect({host: address.slice(0, separator), port: Number(address.slice(separator + 1))});
	const settle = (reachability: Reachability): void => {
		socket.destroy();
		resolve(reachability);
	};

	socket.setTimeout(timeoutMilliseconds, () => {
		settle('unknown');
	});
	socket.once('connect', () => {
		settle('open');
	});
	socket.once('error', (error: NodeJS.ErrnoException) => {
		settle(error.code === 'ECONNREFUSED' ? 'refused' : 'unknown');
	});
});
