/**
A connection tells what was sent, what came back whole, and what broke off.
*/
import {Buffer} from 'node:buffer';
import net, {type AddressInfo} from 'node:net';
import {test, type Test} from 'tap';
import {TargetConnection} from '../../source/entry/target-connection.js';

type Seen = {status: number | undefined; body: string; end: {readonly kind: string}};

const listen = async (t: Test, onSocket: (socket: net.Socket) => void): Promise<string> => {
	const sockets: net.Socket[] = [];
	const server = net.createServer(socket => {
		sockets.push(socket);
		socket.on('error', () => {
			// The far side may reset.
		});
		onSocket(socket);
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	t.teardown(() => {
		for (const socket of sockets) {
			socket.destroy();
		}

		server.close();
	});
	return `127.0.0.1:${(server.address() as AddressInfo).port}`;
};

const send = async (connection: TargetConnection, mayStart = true): Promise<Seen> => {
	const seen: Seen = {status: undefined, body: '', end: {kind: 'none'}};
	await new Promise<void>(resolve => {
		connection.send({
			method: 'GET', path: '/x', headers: ['Host', 'a.example'], body: undefined,
		}, {
			mayStart: () => mayStart,
			onHead(status) {
				seen.status = status;
			},
			onData(chunk) {
				seen.body += Buffer.from(chunk).toString('latin1');
			},
			onEnd(end) {
				seen.end = end;
				resolve();
			},
		});
	});
	return seen;
};

const answering = async (t: Test, answer: (socket: net.Socket) => void): Promise<TargetConnection> => {
	const address = await listen(t, socket => {
		socket.on('data', () => {
			answer(socket);
		});
	});
	const connection = new TargetConnection(address);
	t.teardown(() => {
		connection.destroy();
	});
	return connection;
};

test('a refused connection is an attempt that was not sent', async t => {
	const address = await listen(t, () => undefined);
	const [host, port] = address.split(':');
	const closed = net.createServer();
	await new Promise<void>(resolve => {
		closed.listen(0, host, resolve);
	});
	const free = (closed.address() as AddressInfo).port;
	t.not(free, Number(port));
	await new Promise(resolve => {
		closed.close(resolve);
	});
	const seen = await send(new TargetConnection(`127.0.0.1:${free}`));
	t.equal(seen.end.kind, 'not sent');
});

test('an attempt that is no longer wanted when its turn comes is not sent', async t => {
	let bytes = 0;
	const connection = await answering(t, () => {
		bytes++;
	});
	const seen = await send(connection, false);
	t.equal(seen.end.kind, 'not sent');
	t.equal(bytes, 0);
});

test('an answer with its length is whole', async t => {
	const connection = await answering(t, socket => {
		socket.write('HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc');
	});
	const seen = await send(connection);
	t.match(seen, {status: 200, body: 'abc', end: {kind: 'complete'}});
});

test('an answer without a length is whole when its connection ends', async t => {
	const connection = await answering(t, socket => {
		socket.end('HTTP/1.1 200 OK\r\n\r\nabc');
	});
	const seen = await send(connection);
	t.match(seen, {status: 200, body: 'abc', end: {kind: 'complete'}});
});

test('an answer without a length whose connection is reset is broken', async t => {
	const connection = await answering(t, socket => {
		socket.write('HTTP/1.1 200 OK\r\n\r\nabc', () => {
			setTimeout(() => {
				socket.resetAndDestroy();
			}, 30);
		});
	});
	const seen = await send(connection);
	t.equal(seen.end.kind, 'broken');
});

test('a reset that comes together with the last bytes is no end of the answer either', async t => {
	const connection = await answering(t, socket => {
		socket.write('HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nabc');
		socket.resetAndDestroy();
	});
	const seen = await send(connection);
	t.equal(seen.end.kind, 'broken');
});

test('chunks that end without the last one are broken, also where the answer closes its connection', async t => {
	const connection = await answering(t, socket => {
		socket.end('HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n');
	});
	const seen = await send(connection);
	t.equal(seen.end.kind, 'broken');
});

test('an answer shorter than its length is broken, also where it closes its connection', async t => {
	const connection = await answering(t, socket => {
		socket.end('HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 9\r\n\r\nabc');
	});
	const seen = await send(connection);
	t.equal(seen.end.kind, 'broken');
});

test('bytes that are no answer are broken', async t => {
	const connection = await answering(t, socket => {
		socket.write('no answer at all\r\n\r\n');
	});
	const seen = await send(connection);
	t.equal(seen.end.kind, 'broken');
});

test('a second answer on an idle connection is not taken for that of the next request', async t => {
	let requests = 0;
	const connection = await answering(t, socket => {
		requests++;
		socket.write(requests === 1
			? 'HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none'
			: 'HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\ntwo');
		if (requests === 1) {
			setTimeout(() => {
				socket.write('HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra');
			}, 20);
		}
	});
	t.match(await send(connection), {body: 'one'});
	await new Promise(resolve => {
		setTimeout(resolve, 80);
	});
	t.match(await send(connection), {body: 'two', end: {kind: 'complete'}});
});
