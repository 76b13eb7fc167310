/**
Finds ports on which a process that is to be started can listen, now and after each restart.

The system gives any free port of its own range to whoever asks next. A gateway that is stopped and
started again would meet others there, and gateways of two tests that run side by side would take
each other for peers. So each process looks in a range of its own, outside the system's.
*/
import net from 'node:net';
import process from 'node:process';

const firstPort = 10_000;
const portsPerProcess = 100;
const ranges = 200;

let count = 0;

const canListen = async (port: number): Promise<boolean> => new Promise(resolve => {
	const server = net.createServer();
	server.once('error', () => {
		resolve(false);
	});
	server.listen(port, '127.0.0.1', () => {
		server.close(() => {
			resolve(true);
		});
	});
});

/**
Resolves with a port of the loopback address that is free and that this process has not returned lately.

@example
```
const port = await freePort();
```
*/
export const freePort = async (): Promise<number> => {
	const port = firstPort + ((process.pid % ranges) * portsPerProcess) + (count % portsPerProcess);
	count++;
	return await canListen(port) ? port : freePort();
};
