/**
A connection distinguishes attempts that were not sent, complete answers, and broken ones.
*/
import {Buffer} from 'node:buffer';
import net, {type AddressInfo} from 'node:net';
import {test, type Test} from 'tap';
import {AnswerPacer} from '../../source/entry/answer-pacer.js';
import {EntryMetrics} from '../../source/entry/entry-metrics.js';
import {LoopActivity} from '../../source/entry/loop-activity.js';
import {TargetConnection} from '../../source/entry/target-connection.js';
import {clock} from '../../source/shared/clock.js';
import {systemTimers} from '../../source/shared/system-timers.js';

type AttemptResult = {status: number | undefined; body: string; end: {readonly kind: string}};

const listen = async (t: Test, onSocket: (socket: net.Socket) => void): Promise<string> => {
	const sockets: net.Socket[] = [];
	const server = net.createServer(socket => {
		sockets.push(socket);
		socket.on('error', () => {
			// The client may reset the connection.
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

const createConnection = (address: string): TargetConnection => new TargetConnection(address, new AnswerPacer({
	now: clock, timers: systemTimers, metrics: new EntryMetrics(), activity: new LoopActivity(clock),
}));

const send = async (connection: TargetConnection, mayStart = true): Promise<AttemptResult> => {
	const result: AttemptResult = {status: undefined, body: '', end: {kind: 'none'}};
	await new Promise<void>(resolve => {
		connection.send({
			requestId: 'r1', method: 'GET', path: '/x', headers: ['Host', 'a.example'], body: undefined,
		}, {
			mayStart: () => mayStart,
			onHead(status) {
				result.status = status;
			},
			onData(chunk) {
				result.body += Buffer.from(chunk).toString('latin1');
			},
			onEnd(end) {
				result.end = end;
				resolve();
			},
		});
	});
	return result;
};

const connectToTarget = async (t: Test, answer: (socket: net.Socket) => void): Promise<TargetConnection> => {
	const address = await listen(t, socket => {
		socket.on('data', () => {
			answer(socket);
		});
	});
	const connection = createConnection(address);
	t.teardown(() => {
		connection.destroy();
	});
	return connection;
};

test('an attempt whose connection is refused is not sent', async t => {
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
	const result = await send(createConnection(`127.0.0.1:${free}`));
	t.equal(result.end.kind, 'not sent');
});

test('an attempt that mayStart rejects is not sent', async t => {
	let bytes = 0;
	const connection = await connectToTarget(t, () => {
		bytes++;
	});
	const result = await send(connection, false);
	t.equal(result.end.kind, 'not sent');
	t.equal(bytes, 0);
});

test('an answer with a content length is complete', async t => {
	const connection = await connectToTarget(t, socket => {
		socket.write('HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc');
	});
	const result = await send(connection);
	t.match(result, {status: 200, body: 'abc', end: {kind: 'complete'}});
});

test('an answer without a length is complete when its connection ends', async t => {
	const connection = await connectToTarget(t, socket => {
		socket.end('HTTP/1.1 200 OK\r\n\r\nabc');
	});
	const result = await send(connection);
	t.match(result, {status: 200, body: 'abc', end: {kind: 'complete'}});
});

test('an answer without a length whose connection is reset is broken', async t => {
	const connection = await connectToTarget(t, socket => {
		socket.write('HTTP/1.1 200 OK\r\n\r\nabc', () => {
			setTimeout(() => {
				socket.resetAndDestroy();
			}, 30);
		});
	});
	const result = await send(connection);
	t.equal(result.end.kind, 'broken');
});

test('an answer without a length is broken also if the reset arrives together with the last bytes', async t => {
	const connection = await connectToTarget(t, socket => {
		socket.write('HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nabc');
		socket.resetAndDestroy();
	});
	const result = await send(connection);
	t.equal(result.end.kind, 'broken');
});

// Guards against taking the part of an answer for the whole that came before a reset, while the connection still wrote the request.
test('MIXED: an answer without a length to an upload that is still being written is broken by a reset', async t => {
	for (const milliseconds of [0, 5, 60]) {
		const connection = await connectToTarget(t, socket => { // eslint-disable-line no-await-in-loop
			socket.pause();
			socket.write('HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart', () => {
				setTimeout(() => {
					socket.resetAndDestroy();
				}, milliseconds);
			});
		});
		const end = await new Promise<string>(resolve => { // eslint-disable-line no-await-in-loop
			connection.send({
				requestId: 'r1', method: 'POST', path: '/x', headers: ['Host', 'a.example'], body: new Uint8Array(8_000_000),
			}, {
				mayStart: () => true,
				onHead: () => undefined,
				onData: () => undefined,
				onEnd({kind}) {
					resolve(kind);
				},
			});
		});
		t.equal(end, 'broken', `a reset after ${milliseconds} ms`);
	}
});

test('a chunked answer without its last chunk is broken, also with Connection: close', async t => {
	const connection = await connectToTarget(t, socket => {
		socket.end('HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n');
	});
	const result = await send(connection);
	t.equal(result.end.kind, 'broken');
});

test('an answer shorter than its content length is broken, also with Connection: close', async t => {
	const connection = await connectToTarget(t, socket => {
		socket.end('HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 9\r\n\r\nabc');
	});
	const result = await send(connection);
	t.equal(result.end.kind, 'broken');
});

test('bytes that are not HTTP are a broken answer', async t => {
	const connection = await connectToTarget(t, socket => {
		socket.write('no answer at all\r\n\r\n');
	});
	const result = await send(connection);
	t.equal(result.end.kind, 'broken');
});

test('a second answer that arrives on an idle connection is not taken for the answer to the next request', async t => {
	let requests = 0;
	const connection = await connectToTarget(t, socket => {
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

// Guards against a call that waits for its whole timeout, while its target sends interim answers without end.
test('CONFIG: interim answers without end break an attempt off, and a few of them do not', async t => {
	const interim = 'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n';
	const endless = await connectToTarget(t, socket => {
		const timer = setInterval(() => {
			socket.write(interim.repeat(100));
		}, 5);
		socket.once('close', () => {
			clearInterval(timer);
		});
	});
	t.match(await send(endless), {status: undefined, end: {kind: 'broken', reason: 'too many interim answers'}});
	const sound = await connectToTarget(t, socket => {
		socket.write(`${interim.repeat(3)}HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc`);
	});
	t.match(await send(sound), {status: 200, body: 'abc', end: {kind: 'complete'}});
});

const invalidHeads = ['000', '001', '099', '101', '600', '999'].flatMap(status => [
	`HTTP/1.1 ${status} Trouble\r\nContent-Length: 4\r\n\r\ndone`,
	`HTTP/1.1 ${status} Trouble\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n`,
	`HTTP/1.1 ${status} Trouble\r\n\r\n`,
	`HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 ${status} Trouble\r\nContent-Length: 4\r\n\r\ndone`,
]);

// Guards against an answer for the caller that HTTP does not have, and against an assertion of the HTTP client that fails because of what a target wrote.
test('MIXED: an attempt whose head has a status that HTTP does not have is broken off, and nothing of it is passed on', async t => {
	for (const head of invalidHeads) {
		const connection = await connectToTarget(t, socket => { // eslint-disable-line no-await-in-loop
			socket.write(head);
		});
		const status = /(\d{3}) Trouble/.exec(head)![1]!;
		t.match(await send(connection), {status: undefined, body: '', end: {kind: 'broken', reason: `invalid status ${Number(status)}`}}, JSON.stringify(head)); // eslint-disable-line no-await-in-loop
	}
});

// Guards against work and objects for each of the pieces into which a target cuts an answer.
test('LOST: the chunks of a body that arrive together are handed over as one piece', async t => {
	const pieces = 5000;
	const connection = await connectToTarget(t, socket => {
		socket.write(`HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n${'1\r\nx\r\n'.repeat(pieces)}0\r\n\r\n`);
	});
	let calls = 0;
	let body = '';
	await new Promise<void>(resolve => {
		connection.send({
			requestId: 'r1', method: 'GET', path: '/x', headers: ['Host', 'a.example'], body: undefined,
		}, {
			mayStart: () => true,
			onHead: () => undefined,
			onData(chunk) {
				calls++;
				body += Buffer.from(chunk).toString('latin1');
			},
			onEnd() {
				resolve();
			},
		});
	});
	t.equal(body, 'x'.repeat(pieces));
	t.ok(calls < pieces / 100, `${calls} pieces`);
});

/** Sends one request, pauses its answer at the first piece, and resumes it once `isOver` says so. */
const readPaused = async (connection: TargetConnection, isOver: Promise<unknown>): Promise<AttemptResult> => {
	const result: AttemptResult = {status: undefined, body: '', end: {kind: 'none'}};
	let isPaused = false;
	await new Promise<void>(resolve => {
		connection.send({
			requestId: 'r1', method: 'GET', path: '/x', headers: ['Host', 'a.example'], body: undefined,
		}, {
			mayStart: () => true,
			onHead(status) {
				result.status = status;
			},
			onData(chunk, flow) {
				result.body += Buffer.from(chunk).toString('latin1');
				if (!isPaused) {
					isPaused = true;
					flow.pause();
					void isOver.then(() => { // eslint-disable-line promise/prefer-await-to-then
						flow.resume();
					});
				}
			},
			onEnd(end) {
				result.end = end;
				resolve();
			},
		});
	});
	return result;
};

const pieces = ['first ', 'second ', 'third'];

// Guards against a process that ends by itself because a connection ends, or is reset, while its answer is paused.
for (const ending of ['end', 'reset'] as const) {
	for (const head of ['', 'Content-Length: 18\r\nConnection: close\r\n', 'Transfer-Encoding: chunked\r\nConnection: close\r\n']) {
		test(`FAULT: a connection may ${ending} while its answer is paused: ${JSON.stringify(head)}`, async t => {
			const isChunked = head.startsWith('Transfer');
			const isOver = new Promise(resolve => {
				setTimeout(resolve, 150);
			});
			const connection = await connectToTarget(t, socket => {
				socket.write(`HTTP/1.1 200 OK\r\n${head}\r\n`);
				for (const [index, piece] of pieces.entries()) {
					setTimeout(() => {
						socket.write(isChunked ? `${piece.length.toString(16)}\r\n${piece}\r\n` : piece);
					}, 10 + (index * 20));
				}

				setTimeout(() => {
					if (ending === 'end') {
						socket.end(isChunked ? '0\r\n\r\n' : '');
					} else {
						socket.resetAndDestroy();
					}
				}, 90);
			});
			const result = await readPaused(connection, isOver);
			t.match(result, ending === 'end' ? {status: 200, body: pieces.join(''), end: {kind: 'complete'}} : {status: 200, end: {kind: 'broken'}});
		});
	}
}

test('a connection whose answer ended while it was paused carries the next one', async t => {
	const connection = await connectToTarget(t, socket => {
		socket.write('HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc');
	});
	const never = new Promise(() => {
		// The caller never catches up.
	});
	t.match(await readPaused(connection, never), {body: 'abc', end: {kind: 'complete'}});
	t.match(await send(connection), {body: 'abc', end: {kind: 'complete'}});
});
