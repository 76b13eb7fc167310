/**
Requests whose head has many headers, of which the ones that matter come last.

The gateway is a process of its own, so that one that hangs fails the test and not the run. Each
request is followed by another one on the same connection, sent ahead: whoever takes the first for
longer or shorter than its caller meant swallows the second, or makes it of the first one's body.
*/
import {Buffer} from 'node:buffer';
import net from 'node:net';
import {test} from 'tap';
import {CallerGateway} from '../support/caller-gateway.js';

type Case = {
	readonly name: string;
	/** Headers before the many others, and behind them. */
	readonly before?: readonly string[];
	readonly behind: readonly string[];
	readonly body?: string;
	/** What the target must get, by name in lower case. */
	readonly arrives?: Readonly<Record<string, string>>;
	/** What its body must be. */
	readonly arrivedBody?: string;
	/** True when the body ends with as many trailers as the head has other headers. */
	readonly hasTrailers?: boolean;
	/** True when the head can be read in two ways, so that it must be refused. */
	readonly isAmbiguous?: boolean;
	/** True when the first answer must close the connection. */
	readonly isLast?: boolean;
};

const id = 'x-request-id: first';
const counts = [0, 900, 998, 999, 1000, 1001, 1300];
const replyMilliseconds = 3000;

const cases: readonly Case[] = [
	{
		name: 'a length', before: [id], behind: ['content-length: 3'], body: 'abc', arrivedBody: 'abc',
	},
	{
		name: 'chunks', before: [id], behind: ['transfer-encoding: chunked'], body: '3\r\nabc\r\n0\r\n\r\n', arrivedBody: 'abc',
	},
	{
		name: 'chunks and as many trailers', before: [id], behind: ['transfer-encoding: chunked'], body: '3\r\nabc\r\n0\r\n', hasTrailers: true, arrivedBody: 'abc',
	},
	{name: 'the id', behind: [id], arrives: {'x-request-id': 'first'}},
	{
		name: 'a prompt', before: [id], behind: ['x-model: m', 'x-token-count: 300,6', 'x-prompt-prefix: aa:92,bb:208'], arrives: {'x-model': 'm', 'x-token-count': '300,6', 'x-prompt-prefix': 'aa:92,bb:208'},
	},
	{
		name: 'the close of the connection', before: [id], behind: ['connection: close'], isLast: true,
	},
	{
		name: 'a wait for the word to go on', before: [id, 'content-length: 3'], behind: ['expect: 100-continue'], body: 'abc', arrivedBody: 'abc',
	},
	{
		name: 'two lengths', before: [id, 'content-length: 3'], behind: ['content-length: 30'], body: 'abc', isAmbiguous: true,
	},
	{
		name: 'a length and chunks', before: [id, 'content-length: 3'], behind: ['transfer-encoding: chunked'], body: '0\r\n\r\n', isAmbiguous: true,
	},
	{
		name: 'two hosts', before: [id], behind: ['host: b.example'], isAmbiguous: true,
	},
];

const write = ({before = [], behind, body = '', hasTrailers = false}: Case, others: number): string => {
	const many = Array.from({length: others}, (_, index) => `a${index}: b`);
	const head = ['POST /crowd/first HTTP/1.1', 'host: a.example', 'x-deadline-ms: 5000', ...before, ...many, ...behind].join('\r\n');
	const second = ['GET /crowd/second HTTP/1.1', 'host: a.example', 'x-request-id: second', 'x-deadline-ms: 5000', 'connection: close'].join('\r\n');
	const trailers = hasTrailers ? `${many.map(line => `${line}\r\n`).join('')}\r\n` : '';
	return `${head}\r\n\r\n${body}${trailers}${second}\r\n\r\n`;
};

/** Sends bytes and returns what comes back until the connection is closed. */
const send = async (port: number, bytes: string): Promise<{readonly text: string; readonly isClosed: boolean}> => new Promise(resolve => {
	const socket = net.connect(port, '127.0.0.1');
	const received: Uint8Array[] = [];
	const end = (isClosed: boolean): void => {
		clearTimeout(timer);
		socket.destroy();
		resolve({text: Buffer.concat(received).toString('latin1'), isClosed});
	};

	const timer = setTimeout(() => {
		end(false);
	}, replyMilliseconds);
	socket.on('data', (data: Uint8Array) => {
		received.push(data);
	});
	socket.on('error', () => undefined);
	socket.on('close', () => {
		end(true);
	});
	socket.write(bytes, 'latin1');
});

const statusesOf = (text: string): readonly number[] => [...text.matchAll(/HTTP\/1\.1 (\d{3})/g)].map(match => Number(match[1])).filter(status => status !== 100);

for (const played of cases) {
	// Guards against a process that hangs on such a head, and against one that takes its body for something else.
	test(`CONFIG, UNASKED: ${played.name} behind many headers is understood as its caller means it, or refused`, async t => {
		const gateway = await CallerGateway.start(t);
		for (const others of counts) {
			const former = gateway.crowded.arrivals.length;
			const {text, isClosed} = await send(gateway.ports.callers, write(played, others)); // eslint-disable-line no-await-in-loop
			const statuses = statusesOf(text);
			const arrivals = gateway.crowded.arrivals.slice(former);
			const what = `behind ${others} others: ${statuses.join(' ')}`;
			t.ok(isClosed, `the connection is closed at the end, ${what}`);
			if (statuses[0] === 200) {
				t.notOk(played.isAmbiguous, `only what can be read in one way is served, ${what}`);
				t.strictSame(arrivals.map(({path}) => path), played.isLast ? ['/crowd/first'] : ['/crowd/first', '/crowd/second'], what);
				t.equal(arrivals[0]?.body, played.arrivedBody ?? '', what);
				t.match(arrivals[0]?.headers, played.arrives ?? {}, what);
				t.equal(Object.keys(arrivals[0]?.headers ?? {}).filter(name => /^a\d+$/.test(name)).length, others, `nothing is dropped, ${what}`);
				t.equal(statuses.length, played.isLast ? 1 : 2, what);
			} else {
				t.ok(played.isAmbiguous === true || others > 999, `a proper head inside the limits is served, ${what}`);
				t.match(String(statuses[0]), /^4\d\d$/, what);
				t.strictSame([statuses.length, arrivals.length], [1, 0], what);
			}

			if (!isClosed) {
				break;
			}
		}

		t.equal(await gateway.askOrdinary(1), 200, 'others are answered');
	});
}
