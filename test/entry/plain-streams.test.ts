/**
Streams of services without engines: they are passed on as those of engines are.
*/
import type http from 'node:http';
import {test, type Test} from 'tap';
import type {PlatformTargetStandIn} from '../../stand-ins/platform-target-stand-in.js';
import {EntryFleet} from '../support/entry-fleet.js';

type Answer = PlatformTargetStandIn['answer'];

const event = (id: number): string => `id: ${id}\ndata: piece ${id}\n\n`;
const largeBytes = 3_000_000;

/** Streams of `/reports/` may be resumed at another target, those of `/prices/` may not. */
const startFleet = async (t: Test): Promise<EntryFleet> => {
	const fleet = await EntryFleet.start(t);
	fleet.configure([
		{
			name: 'prices', pathPrefix: '/prices/', routeType: 'streaming', service: 'floor', maxAttempts: 2, itlTargetMs: 300,
		},
		{
			name: 'reports', pathPrefix: '/reports/', routeType: 'streaming', service: 'floor', resumable: true, maxAttempts: 2, itlTargetMs: 300,
		},
	], [{name: 'floor'}]);
	return fleet;
};

const headOf = (requestId: string): http.OutgoingHttpHeaders => ({'x-request-id': requestId, 'x-response-signature': 'proof', 'content-type': 'text/event-stream'});

/** Returns an answer with this body, which ends properly however it is framed. */
const streamOf = (text: string, framing: 'chunks' | 'length' | 'neither'): Answer => (response, {requestId}) => {
	response.useChunkedEncodingByDefault = framing !== 'neither';
	response.writeHead(200, {
		...headOf(requestId),
		...framing === 'length' ? {'content-length': String(text.length)} : {},
		...framing === 'neither' ? {connection: 'close'} : {},
	});
	response.write(text);
	response.end();
};

const brokenStreamOf = (text: string): Answer => (response, {requestId}) => {
	response.writeHead(200, headOf(requestId));
	response.write(text, () => {
		setTimeout(() => {
			response.socket?.resetAndDestroy();
		}, 30);
	});
};

/** Lets both targets give these answers, one after the other. */
const answerInTurn = (targets: readonly PlatformTargetStandIn[], answers: Answer[]): void => {
	for (const target of targets) {
		target.answer = (response, arrival, count) => {
			answers.shift()!(response, arrival, count);
		};
	}
};

const framings = ['chunks', 'length', 'neither'] as const;

// Guards against keeping a stream until it has ended.
test('each event is passed on as it arrives', async t => {
	const fleet = await startFleet(t);
	const target = await fleet.addTarget('i-1', 'floor');
	let response: http.ServerResponse | undefined;
	target.answer = (started, {requestId}) => {
		response = started;
		started.writeHead(200, headOf(requestId));
		started.write(event(1));
	};

	const gateway = await fleet.addGateway();
	const reply = await fleet.ask(gateway, {
		path: '/prices/1', requestId: 'r1', onRequest(request) {
			request.once('response', answer => {
				// The target goes on only once the caller has the first event.
				answer.once('data', () => {
					response!.end(event(2));
				});
			});
		},
	});
	t.match(reply, {
		status: 200, isWhole: true, body: event(1) + event(2), headers: {'x-response-signature': 'proof'},
	});
});

// Guards against passing on as complete what a target has broken off, because its connection or its body ended properly (review/8).
test('ORDER: a stream that its target ends inside an event does not look complete, however its body is framed', async t => {
	const fleet = await startFleet(t);
	const target = await fleet.addTarget('i-1', 'floor');
	const gateway = await fleet.addGateway();
	for (const framing of framings) {
		for (const [index, text] of [`${event(1)}id: 2\nda`, `${event(1)}id: 2\n`, `${event(1)}id: 2\ndata: piece 2\n`, 'id'].entries()) {
			target.answer = streamOf(text, framing);
			const reply = await fleet.ask(gateway, {path: '/prices/1', requestId: `${framing} ${index}`}); // eslint-disable-line no-await-in-loop
			t.match(reply, text.startsWith(event(1)) ? {status: 200, isWhole: false, body: event(1)} : {status: 502}, `${framing}: ${JSON.stringify(text)}`);
		}
	}
});

test('a stream that ends after an event is complete, however its body is framed', async t => {
	const fleet = await startFleet(t);
	const target = await fleet.addTarget('i-1', 'floor');
	const gateway = await fleet.addGateway();
	for (const framing of framings) {
		target.answer = streamOf(event(1) + event(2), framing);
		const reply = await fleet.ask(gateway, {path: '/prices/1', requestId: framing}); // eslint-disable-line no-await-in-loop
		t.match(reply, {status: 200, isWhole: true, body: event(1) + event(2)}, framing);
	}
});

// Guards against a stream that breaks off although its route lets another target continue it, and against one that is continued although its route does not.
test('a stream that breaks off is continued at another target only if its route allows that', async t => {
	const fleet = await startFleet(t);
	const targets = [await fleet.addTarget('i-1', 'floor'), await fleet.addTarget('i-2', 'floor')];
	const gateway = await fleet.addGateway();
	const arrivals = (requestId: string) => targets.flatMap(({arrivals: seen}) => seen).filter(arrival => arrival.requestId === requestId);
	for (const [index, first] of [brokenStreamOf(`${event(1)}id: 2\nda`), streamOf(`${event(1)}id: 2\nda`, 'chunks'), streamOf(`${event(1)}id`, 'neither')].entries()) {
		answerInTurn(targets, [first, streamOf(event(2) + event(3), 'chunks')]);
		const reply = await fleet.ask(gateway, {path: '/reports/1', requestId: `resumed ${index}`}); // eslint-disable-line no-await-in-loop
		t.match(reply, {status: 200, isWhole: true, body: event(1) + event(2) + event(3)});
		t.strictSame(arrivals(`resumed ${index}`).map(({headers}) => String(headers['last-event-id'])).sort((one, other) => one.localeCompare(other)), ['1', 'undefined']);
		answerInTurn(targets, [first, streamOf(event(2), 'chunks')]);
		const other = await fleet.ask(gateway, {path: '/prices/1', requestId: `once ${index}`}); // eslint-disable-line no-await-in-loop
		t.match(other, {status: 200, isWhole: false, body: event(1)});
		t.equal(arrivals(`once ${index}`).length, 1);
	}
});

// Guards against an event without end that is held until memory is used up.
test('a stream with an event that is too large is broken off', async t => {
	const fleet = await startFleet(t);
	const target = await fleet.addTarget('i-1', 'floor');
	target.answer = (response, {requestId}) => {
		response.writeHead(200, headOf(requestId));
		response.write(`${event(1)}data: ${'x'.repeat(largeBytes)}`);
	};

	const gateway = await fleet.addGateway();
	t.match(await fleet.ask(gateway, {path: '/reports/1', requestId: 'r1'}), {status: 200, isWhole: false, body: event(1)});
});

/** An answer that is no stream, of this length. */
const textOf = (bytes: number, ending: 'whole' | 'reset'): Answer => (response, {requestId}) => {
	response.writeHead(200, {'x-request-id': requestId, 'x-response-signature': 'proof of text', 'content-type': 'text/plain'});
	response.write('x'.repeat(bytes), () => {
		if (ending === 'whole') {
			response.end();
			return;
		}

		setTimeout(() => {
			response.socket?.resetAndDestroy();
		}, 30);
	});
};

// Guards against taking an answer that is no stream for one, and against beginning it twice once a part of it has been passed on.
test('an answer that is no stream is passed on unchanged, whole or not', async t => {
	const fleet = await startFleet(t);
	const targets = [await fleet.addTarget('i-1', 'floor'), await fleet.addTarget('i-2', 'floor')];
	const gateway = await fleet.addGateway();
	for (const bytes of [4, largeBytes]) {
		answerInTurn(targets, [textOf(bytes, 'whole')]);
		const reply = await fleet.ask(gateway, {path: '/reports/1', requestId: `text ${bytes}`}); // eslint-disable-line no-await-in-loop
		t.match(reply, {status: 200, isWhole: true, headers: {'x-response-signature': 'proof of text'}});
		t.ok(reply.body === 'x'.repeat(bytes));
	}

	answerInTurn(targets, [textOf(largeBytes, 'reset'), textOf(4, 'whole')]);
	const broken = await fleet.ask(gateway, {path: '/reports/1', requestId: 'broken'});
	t.match(broken, {status: 200, isWhole: false});
	t.equal(targets.flatMap(({arrivals}) => arrivals).filter(({requestId}) => requestId === 'broken').length, 1);
	answerInTurn(targets, [brokenStreamOf(event(1)), textOf(largeBytes, 'whole')]);
	t.match(await fleet.ask(gateway, {path: '/reports/1', requestId: 'mixed'}), {status: 200, isWhole: false, body: event(1)});
	t.equal(fleet.logged('answer too large').filter(({request}) => request === 'mixed').length, 1, 'nothing but a stream may follow a stream, so the answer is given up where it becomes too large');
});
