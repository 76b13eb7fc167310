/**
Makes a server of a stand-in listen on the loopback address.
*/
import type net from 'node:net';
import type {AddressInfo} from 'node:net';

/**
Resolves with the port, a free one when none is given.

@example
```
const port = await listenOnLoopback(net.createServer());
```
*/
export const listenOnLoopback = async (server: net.Server, port = 0): Promise<number> => new Promise(resolve => {
	server.listen(port, '127.0.0.1', () => {
		resolve((server.address() as AddressInfo).port);
	});
});
