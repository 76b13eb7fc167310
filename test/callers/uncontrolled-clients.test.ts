/**
Clients that are not controlled, against the gateway's process.

Each test plays one kind of client. The number of clients, what they send, and the bounds are fixed;
heap, memory, descriptors and the largest body are set low, so that some dozens of clients are enough.
*/
import {Buffer} from 'node:buffer';
import {test, type Test} from 'tap';
import {pause} from '../../source/shared/pause.js';
import {CallerGateway} from '../support/caller-gateway.js';
import {Crowd} from '../support/crowd.js';

type Plan = Omit<ConstructorParameters<typeof Crowd>[0], 'port'>;

const blockBytes = 65_536;
/** A crowd that has sent all that it can stays this long, in milliseconds, before the gateway is examined. */
const stayMilliseconds = 500;
/** Longest play of a crowd in milliseconds. */
const longestPlayMilliseconds = 4000;
const {memoryMegabytes, bodyBytes} = CallerGateway.limits;

const blockOf = (text: string): Uint8Array => Buffer.from(text.repeat(Math.floor(blockBytes / text.length)), 'latin1');

const headOf = (method: string, target: string, ...headers: readonly string[]): string => [`${method} ${target} HTTP/1.1`, 'Host: a.example', ...headers, '', ''].join('\r\n');

const chunkedHead = (index: number): string => headOf('POST', '/crowd/1', `X-Request-Id: c${index}`, 'Transfer-Encoding: chunked');

const oneByteChunk = '1\r\nx\r\n';
const extendedChunk = '1;a=b\r\nx\r\n';

/** Blocks of chunks whose body stays just below the largest that is allowed. */
const blocksBelowLimit = (chunk: string): number => Math.floor(bodyBytes / Math.floor(blockBytes / chunk.length));

const cutFinely: Plan = {
	clients: 60, head: chunkedHead, block: blockOf(oneByteChunk), blocks: blocksBelowLimit(oneByteChunk), isReading: true,
};
const cutWithExtensions: Plan = {
	clients: 60, head: chunkedHead, block: blockOf(extendedChunk), blocks: blocksBelowLimit(extendedChunk), isReading: true,
};
const shortOfEnd: Plan = {
	clients: 150, head: index => headOf('POST', '/crowd/1', `X-Request-Id: s${index}`, `Content-Length: ${bodyBytes}`), block: Buffer.alloc(bodyBytes - 1, 'x'), blocks: 1, isReading: true,
};
const largeBodies: Plan = {
	clients: 150, head: index => headOf('POST', '/crowd/1', `X-Request-Id: l${index}`, `Content-Length: ${bodyBytes}`), block: Buffer.alloc(bodyBytes, 'x'), blocks: 1, isReading: true,
};
const endlessTrailers: Plan = {
	clients: 60, head: index => `${chunkedHead(index)}${oneByteChunk}0\r\n`, block: blockOf('a: b\r\n'), blocks: 40, isReading: true,
};
const shortHeads: Plan = {
	clients: 150, head: index => headOf('POST', '/crowd/1').slice(0, -2) + `X-Request-Id: h${index}\r\n`, block: Buffer.from('a: b\r\n'.repeat(10_000), 'latin1'), blocks: 1, isReading: true,
};
/** Some 15,400 bytes: a proper request, as the pages bound the bytes of a head and not the number of parts. */
const manyParts = Array.from({length: 2200}, (_, index) => `${(4096 + index).toString(16)}:1`).join(',');
const longPrompts: Plan = {
	clients: 700, head: index => headOf('POST', '/crowd/1', `X-Request-Id: p${index}`, 'X-Token-Count: 2200,17', `X-Prompt-Prefix: ${manyParts}`, 'Content-Length: 0'), isReading: true,
};
const silent: Plan = {clients: 400, head: () => '', isReading: true};
const routed = headOf('GET', '/crowd/1') + headOf('POST', '/crowd/2', 'Content-Length: 2') + 'ok';
const unrouted = headOf('GET', '/nowhere/1') + headOf('POST', '/nowhere/2', 'Content-Length: 2') + 'ok';

const pipelined = (text: string, isReading: boolean): Plan => ({
	clients: 60, head: () => '', block: blockOf(text), blocks: 10, isReading,
});

/** Requests of a crowd that pipelines these two again and again. */
const requestsOf = (text: string): number => {
	const {clients, blocks} = pipelined(text, true);
	return clients * blocks! * 2 * Math.floor(blockBytes / text.length);
};

/** Plays crowds together, and checks the process and an ordinary request beside them. `wholeCrowd`: the request is to be answered before the first crowd has had so many answers. */
const play = async (t: Test, gateway: CallerGateway, plans: readonly Plan[], wholeCrowd = Number.POSITIVE_INFINITY): Promise<void> => {
	const crowds = plans.map(plan => new Crowd({...plan, port: gateway.ports.callers}));
	t.teardown(() => {
		for (const crowd of crowds) {
			crowd.leave();
		}
	});
	await Promise.race([Promise.all(crowds.map(async ({sent}) => sent)), pause(longestPlayMilliseconds)]);
	await pause(stayMilliseconds);
	t.equal(await gateway.askOrdinary(), 200, 'an ordinary request is answered while the crowd stays');
	t.ok(crowds[0]!.answers < wholeCrowd, `the ordinary request has not waited for the whole crowd: ${crowds[0]!.answers} answers`);
	for (const crowd of crowds) {
		crowd.leave();
	}

	t.equal(await gateway.askOrdinary(), 200, 'an ordinary request is answered afterwards');
	t.equal(gateway.end, undefined, 'the process lives');
	t.ok(gateway.usage.megabytes < memoryMegabytes, `resident memory: ${Math.round(gateway.usage.megabytes)} MB`);
	t.ok(gateway.usage.descriptors < gateway.descriptors, `open descriptors: ${gateway.usage.descriptors}`);
	t.comment(`memory ${Math.round(gateway.usage.megabytes)} MB, descriptors ${gateway.usage.descriptors}, answers read ${crowds.map(({answers}) => answers).join(' ')}`);
};

const start = async (t: Test, descriptors?: number): Promise<CallerGateway> => CallerGateway.start(t, descriptors);

// Guards against a body of which each byte costs an object.
test('LOST: bodies in chunks of one byte that stop short of their end', async t => {
	await play(t, await start(t), [cutFinely]);
});

// Guards against the same where an extension makes each chunk cost more.
test('LOST: bodies in chunks of one byte with chunk extensions', async t => {
	await play(t, await start(t), [cutWithExtensions]);
});

// Guards against bodies that are whole but for a byte and together exceed the memory of the VM.
test('LOST: bodies with a length that stop just short of their end', async t => {
	await play(t, await start(t), [shortOfEnd]);
});

// Guards against requests that are read without a bound while the answers before them are not.
test('LOST: pipelined requests of a route whose answers nobody reads', async t => {
	await play(t, await start(t), [pipelined(routed, false)]);
});

// Guards against the same with requests that are refused at once, whose answers pile up.
test('LOST: pipelined requests of no route whose answers nobody reads', async t => {
	await play(t, await start(t), [pipelined(unrouted, false)]);
});

// Guards against pipelined requests that take all of the event loop's time.
test('LOST, FAULT: pipelined requests of a route whose answers are read', async t => {
	await play(t, await start(t), [pipelined(routed, true)], requestsOf(routed));
});

// Guards against the same with requests that are refused at once.
test('LOST, FAULT: pipelined requests of no route whose answers are read', async t => {
	await play(t, await start(t), [pipelined(unrouted, true)], requestsOf(unrouted));
});

// Guards against trailers that are kept without a bound.
test('LOST: trailers without end', async t => {
	await play(t, await start(t), [endlessTrailers]);
});

// Guards against heads that are kept without a bound or for good.
test('LOST: heads that stop short of their end', async t => {
	await play(t, await start(t), [shortHeads]);
});

// Guards against whole bodies that wait for slow targets and together exceed the memory of the VM.
test('LOST: large bodies at once for a target that does not answer', async t => {
	const gateway = await start(t);
	gateway.crowded.answer = () => undefined;
	await play(t, gateway, [largeBodies]);
});

// Guards against heads whose parts, as objects, take ten times their bytes until they are answered (review/7).
test('LOST: requests at once with long lists of prompt parts', async t => {
	const gateway = await start(t, 2000);
	gateway.crowded.answer = () => undefined;
	await play(t, gateway, [longPrompts]);
});

// Guards against answers that are kept for slow readers without a bound for all of them.
test('LOST: large answers that nobody reads', async t => {
	const gateway = await start(t);
	const body = Buffer.alloc(bodyBytes, 'x');
	gateway.crowded.answer = (response, {requestId}) => {
		response.writeHead(200, {'x-request-id': requestId, 'x-response-signature': 'proof', 'content-length': String(bodyBytes)});
		response.end(body);
	};

	await play(t, gateway, [pipelined(headOf('GET', '/crowd/1'), false)]);
});

// Guards against silent connections that take all descriptors.
test('LOST: connections that send nothing', async t => {
	await play(t, await start(t), [silent]);
});

// Guards against a limit that a single request inside the configured limits meets.
test('FAULT: one body of the largest size in chunks of one byte is served', async t => {
	const gateway = await start(t);
	const bodies: number[] = [];
	gateway.crowded.answer = (response, {requestId, body}) => {
		bodies.push(body.length);
		response.writeHead(200, {'x-request-id': requestId, 'x-response-signature': 'proof'});
		response.end('done');
	};

	const chunks = Buffer.from(oneByteChunk.repeat(bodyBytes), 'latin1');
	const crowd = new Crowd({
		port: gateway.ports.callers, clients: 1, head: chunkedHead, block: Buffer.concat([chunks, Buffer.from('0\r\n\r\n')]), blocks: 1, isReading: true,
	});
	t.teardown(() => {
		crowd.leave();
	});
	await crowd.sent;
	while (crowd.answers === 0 && crowd.open > 0) {
		await pause(stayMilliseconds); // eslint-disable-line no-await-in-loop
	}

	t.equal(crowd.answers, 1);
	t.strictSame(bodies, [bodyBytes]);
	t.equal(gateway.end, undefined, 'the process lives');
	t.ok(gateway.usage.megabytes < memoryMegabytes, `resident memory: ${Math.round(gateway.usage.megabytes)} MB`);
});

// Guards against bounds that hold for each kind alone.
test('LOST: several kinds of clients at once', async t => {
	await play(t, await start(t), [
		{...cutFinely, clients: 30},
		{...shortOfEnd, clients: 50},
		{...pipelined(routed, false), clients: 30},
		{...pipelined(unrouted, true), clients: 30},
		{...shortHeads, clients: 30},
		{...endlessTrailers, clients: 30},
	]);
});
