/**
Streams of engines: the caller gets only complete events, also when another engine continues the stream.
*/
import {test, type Test} from 'tap';
import type {PlatformTargetStandIn} from '../../stand-ins/platform-target-stand-in.js';
import {startStreamFleet} from '../support/stream-fleet.js';

const prompt = {'x-model': 'm', 'x-token-count': '400,50', 'x-prompt-prefix': 'aa:300,bb:100'};
const event = (id: number): string => `id: ${id}\ndata: piece ${id}\n\n`;

/** Returns an answer with these events that ends normally, with a reset, or with a reset in the middle of one more event (`torn`). */
const streamAnswer = (events: readonly number[], ending: 'whole' | 'reset' | 'torn'): PlatformTargetStandIn['answer'] => (response, {requestId}) => {
	response.writeHead(200, {'x-request-id': requestId, 'x-response-signature': `proof of ${events[0]}`, 'content-type': 'text/event-stream'});
	const text = events.map(id => event(id)).join('') + (ending === 'torn' ? 'id: 99\nda' : '');
	response.write(text, () => {
		if (ending === 'whole') {
			response.end();
			return;
		}

		setTimeout(() => {
			response.socket?.resetAndDestroy();
		}, 30);
	});
};

test('a complete stream is passed on', async t => {
	const fleet = await startStreamFleet(t);
	const target = await fleet.addTarget('i-1', 'models', {phase: 'decode'});
	target.answer = streamAnswer([1, 2, 3], 'whole');
	const gateway = await fleet.addGateway();
	const reply = await fleet.ask(gateway, {path: '/dossiers/1', requestId: 'r1', headers: prompt});
	t.match(reply, {status: 200, isWhole: true, body: event(1) + event(2) + event(3)});
});

test('a stream that breaks off and is not resumable does not look complete, and ends with a complete event', async t => {
	const fleet = await startStreamFleet(t);
	const target = await fleet.addTarget('i-1', 'models', {phase: 'decode'});
	const other = await fleet.addTarget('i-2', 'models', {phase: 'decode'});
	target.answer = streamAnswer([1, 2], 'torn');
	other.answer = streamAnswer([1, 2], 'torn');
	const gateway = await fleet.addGateway();
	const reply = await fleet.ask(gateway, {path: '/dossiers/1', requestId: 'r1', headers: prompt});
	t.match(reply, {status: 200, isWhole: false, body: event(1) + event(2)});
	t.equal(target.arrivals.length + other.arrivals.length, 1);
});

test('a resumable stream is continued at another engine after the last complete event, with the headers of the first answer', async t => {
	const fleet = await startStreamFleet(t);
	const targets = [await fleet.addTarget('i-1', 'models', {phase: 'decode'}), await fleet.addTarget('i-2', 'models', {phase: 'decode'})];
	let runs = 0;
	const answer: PlatformTargetStandIn['answer'] = (response, arrival, count) => {
		runs++;
		const next = runs === 1 ? streamAnswer([1, 2], 'torn') : streamAnswer([3, 4], 'whole');
		next(response, arrival, count);
	};

	for (const target of targets) {
		target.answer = answer;
	}

	const gateway = await fleet.addGateway();
	const reply = await fleet.ask(gateway, {path: '/questions/1', requestId: 'r1', headers: prompt});
	t.match(reply, {status: 200, isWhole: true, body: event(1) + event(2) + event(3) + event(4)});
	t.equal(reply.headers['x-response-signature'], 'proof of 1');
	const arrivals = targets.flatMap(({arrivals: seen}) => seen);
	t.equal(arrivals.length, 2);
	t.equal(arrivals.filter(({headers}) => headers['last-event-id'] === '2').length, 1);
});

test('a prompt is prefilled at a prefill engine, and a decode engine fetches its KV cache', async t => {
	const fleet = await startStreamFleet(t);
	const prefillEngine = await fleet.addTarget('i-1', 'models', {phase: 'prefill'});
	const decodeEngine = await fleet.addTarget('i-2', 'models', {phase: 'decode'});
	prefillEngine.answer = (response, {requestId}) => {
		response.writeHead(200, {'x-request-id': requestId, 'content-type': 'application/json'});
		response.end('{"kvHandle":"h1","tokens":400,"version":1}');
	};

	decodeEngine.answer = streamAnswer([1, 2], 'whole');
	const gateway = await fleet.addGateway();
	const reply = await fleet.ask(gateway, {path: '/dossiers/1', requestId: 'r1', headers: {...prompt, 'x-token-count': '40000,50', 'x-prompt-prefix': 'aa:39000,bb:1000'}});
	t.match(reply, {status: 200, isWhole: true, body: event(1) + event(2)});
	t.equal(prefillEngine.arrivals[0]!.headers['x-inference-phase'], 'prefill');
	t.equal(decodeEngine.arrivals[0]!.headers['x-kv-source'], `${prefillEngine.address}/h1`);
});

test('a KV handle that no decode engine has used is released when the caller disconnects', async t => {
	const fleet = await startStreamFleet(t);
	const prefillEngine = await fleet.addTarget('i-1', 'models', {phase: 'prefill'});
	const decodeEngine = await fleet.addTarget('i-2', 'models', {phase: 'decode'});
	prefillEngine.answer = (response, {requestId, method}) => {
		response.writeHead(200, {'x-request-id': requestId});
		response.end(method === 'DELETE' ? '' : '{"kvHandle":"h1","tokens":400,"version":1}');
	};

	decodeEngine.answer = () => undefined;
	const gateway = await fleet.addGateway();
	await fleet.ask(gateway, {
		path: '/dossiers/1', requestId: 'r1', headers: {...prompt, 'x-token-count': '40000,50'}, onRequest(request) {
			void fleet.until(() => decodeEngine.arrivals.length === 1).then(() => { // eslint-disable-line promise/prefer-await-to-then
				request.destroy();
			});
		},
	});
	await fleet.until(() => prefillEngine.arrivals.some(({method, path}) => method === 'DELETE' && path === '/v1/kv-handle/h1'));
	await fleet.until(() => decodeEngine.arrivals[0]!.isClosed);
	t.pass('released');
});

test('a stream for which there is no decode engine is refused as not run', async t => {
	const fleet = await startStreamFleet(t);
	await fleet.addTarget('i-1', 'models', {phase: 'prefill'});
	const gateway = await fleet.addGateway();
	const reply = await fleet.ask(gateway, {path: '/dossiers/1', requestId: 'r1', headers: prompt});
	t.equal(reply.status, 503);
	t.ok(Number(reply.headers['retry-after']) > 0);
});

test('a prompt at an engine that has silently stopped is prefilled elsewhere, and the attempts at that engine are aborted', async t => {
	const fleet = await startStreamFleet(t);
	const silentEngine = await fleet.addTarget('i-1', 'models', {phase: 'prefill'});
	const prefillEngine = await fleet.addTarget('i-2', 'models', {phase: 'prefill'});
	const decodeEngine = await fleet.addTarget('i-3', 'models', {phase: 'decode'});
	const answer: PlatformTargetStandIn['answer'] = (response, {requestId}) => {
		response.writeHead(200, {'x-request-id': requestId, 'content-type': 'application/json'});
		response.end('{"kvHandle":"h1","tokens":400,"version":1}');
	};

	silentEngine.answer = () => undefined;
	prefillEngine.answer = answer;
	decodeEngine.answer = streamAnswer([1, 2], 'whole');
	const gateway = await fleet.addGateway();
	const ask = async (index: number) => fleet.ask(gateway, {path: '/dossiers/1', requestId: `r${index}`, headers: {...prompt, 'x-token-count': '4000,50', 'x-prompt-prefix': `p${index}:3000,bb:1000`}});
	const replies = await Promise.all(Array.from({length: 8}, async (_, index) => ask(index)));
	t.ok(replies.every(({status, isWhole}) => status === 200 && isWhole), replies.map(({status}) => status).join(' '));
	t.ok(silentEngine.arrivals.length > 0, 'the silent engine got some of the prompts');
	await fleet.until(() => silentEngine.arrivals.every(({isClosed}) => isClosed));
	const prefilledInPlace = decodeEngine.arrivals.filter(({headers}) => headers['x-kv-source'] === undefined);
	t.equal(prefillEngine.arrivals.length + prefilledInPlace.length, 8, 'each prompt was prefilled once elsewhere');
});

// Guards against giving up an event within the bound because the buffer that holds it, which doubles, is beyond it.
test('a stream with an event of 900 KB that comes in two parts is passed on', async t => {
	const fleet = await startStreamFleet(t);
	const target = await fleet.addTarget('i-1', 'models', {phase: 'decode'});
	const large = `id: 1\ndata: ${'x'.repeat(900_000)}\n\n`;
	target.answer = (response, {requestId}) => {
		response.writeHead(200, {'x-request-id': requestId, 'x-response-signature': 'proof', 'content-type': 'text/event-stream'});
		response.write(large.slice(0, 50_000));
		setTimeout(() => {
			response.end(large.slice(50_000));
		}, 50);
	};

	const gateway = await fleet.addGateway();
	const reply = await fleet.ask(gateway, {path: '/dossiers/1', requestId: 'r1', headers: prompt});
	t.match(reply, {status: 200, isWhole: true});
	t.ok(reply.body === large);
});

/** Returns an answer with neither a length nor chunks, which ends with its connection. */
const unframedAnswer = (text: string): PlatformTargetStandIn['answer'] => (response, {requestId}) => {
	response.useChunkedEncodingByDefault = false;
	response.writeHead(200, {
		'x-request-id': requestId, 'x-response-signature': 'proof', 'content-type': 'text/event-stream', connection: 'close',
	});
	response.end(text);
};

test('a stream without a length or chunks is complete when its connection ends after an event', async t => {
	const fleet = await startStreamFleet(t);
	const target = await fleet.addTarget('i-1', 'models', {phase: 'decode'});
	target.answer = unframedAnswer(event(1) + event(2));
	const gateway = await fleet.addGateway();
	t.match(await fleet.ask(gateway, {path: '/dossiers/1', requestId: 'r1', headers: prompt}), {status: 200, isWhole: true, body: event(1) + event(2)});
});

test('a stream without a length or chunks whose connection ends inside an event, or before one, does not look complete', async t => {
	const fleet = await startStreamFleet(t);
	const target = await fleet.addTarget('i-1', 'models', {phase: 'decode'});
	const gateway = await fleet.addGateway();
	target.answer = unframedAnswer(`${event(1)}id: 2\nda`);
	t.match(await fleet.ask(gateway, {path: '/dossiers/1', requestId: 'r1', headers: prompt}), {status: 200, isWhole: false, body: event(1)});
	target.answer = unframedAnswer('');
	t.match(await fleet.ask(gateway, {path: '/dossiers/1', requestId: 'r2', headers: prompt}), {status: 502});
});

test('a resumable stream without a length or chunks that ends inside an event is continued at another engine', async t => {
	const fleet = await startStreamFleet(t);
	const targets = [await fleet.addTarget('i-1', 'models', {phase: 'decode'}), await fleet.addTarget('i-2', 'models', {phase: 'decode'})];
	const answers = [unframedAnswer(`${event(1)}id: 2\nda`), streamAnswer([2, 3], 'whole')];
	const answer: PlatformTargetStandIn['answer'] = (response, arrival, count) => {
		answers.shift()!(response, arrival, count);
	};

	for (const target of targets) {
		target.answer = answer;
	}

	const gateway = await fleet.addGateway();
	t.match(await fleet.ask(gateway, {path: '/questions/1', requestId: 'r1', headers: prompt}), {status: 200, isWhole: true, body: event(1) + event(2) + event(3)});
});

/** Returns an answer of which only this part comes, in a body that is ended properly, in chunks or with its length. */
const endedAnswer = (text: string, framing: 'chunks' | 'length'): PlatformTargetStandIn['answer'] => (response, {requestId}) => {
	response.writeHead(200, {
		'x-request-id': requestId, 'x-response-signature': 'proof', 'content-type': 'text/event-stream', ...framing === 'length' ? {'content-length': String(text.length)} : {},
	});
	response.write(text);
	response.end();
};

const tornTexts = [`${event(1)}id: 2\nda`, `${event(1)}id: 2\n`, `${event(1)}id: 2\ndata: piece 2\n`, 'id'];

// Guards against passing on as complete what an engine has broken off, because it ended the body properly.
test('MIXED: a stream that ends inside an event does not look complete, however its body is framed', async t => {
	const fleet = await startStreamFleet(t);
	const target = await fleet.addTarget('i-1', 'models', {phase: 'decode'});
	const gateway = await fleet.addGateway();
	for (const framing of ['chunks', 'length'] as const) {
		for (const [index, text] of tornTexts.entries()) {
			target.answer = endedAnswer(text, framing);
			const reply = await fleet.ask(gateway, {path: '/dossiers/1', requestId: `${framing} ${index}`, headers: prompt}); // eslint-disable-line no-await-in-loop
			t.match(reply, text.startsWith(event(1)) ? {status: 200, isWhole: false, body: event(1)} : {status: 502}, `${framing}: ${JSON.stringify(text)}`);
		}
	}

	t.equal(fleet.logged('target crashed').length + fleet.logged('target still listens').length, 0, 'an engine that ends its body has not crashed');
});

// Guards against the same where another engine can continue the stream.
test('MIXED: a resumable stream that ends inside an event is continued at another engine, however its body is framed', async t => {
	const fleet = await startStreamFleet(t);
	const targets = [await fleet.addTarget('i-1', 'models', {phase: 'decode'}), await fleet.addTarget('i-2', 'models', {phase: 'decode'})];
	const gateway = await fleet.addGateway();
	for (const framing of ['chunks', 'length'] as const) {
		const answers = [endedAnswer(`${event(1)}id: 2\nda`, framing), streamAnswer([2, 3], 'whole')];
		for (const target of targets) {
			target.answer = (response, arrival, count) => {
				answers.shift()!(response, arrival, count);
			};
		}

		const reply = await fleet.ask(gateway, {path: '/questions/1', requestId: framing, headers: prompt}); // eslint-disable-line no-await-in-loop
		t.match(reply, {status: 200, isWhole: true, body: event(1) + event(2) + event(3)});
	}
});

// Guards against breaking off a stream whose engine crashed between its last event and its end.
test('a resumable stream whose continuation has no more events is complete', async t => {
	const fleet = await startStreamFleet(t);
	const targets = [await fleet.addTarget('i-1', 'models', {phase: 'decode'}), await fleet.addTarget('i-2', 'models', {phase: 'decode'})];
	const answers = [streamAnswer([1, 2], 'reset'), endedAnswer('', 'chunks')];
	for (const target of targets) {
		target.answer = (response, arrival, count) => {
			answers.shift()!(response, arrival, count);
		};
	}

	const gateway = await fleet.addGateway();
	t.match(await fleet.ask(gateway, {path: '/questions/1', requestId: 'r1', headers: prompt}), {status: 200, isWhole: true, body: event(1) + event(2)});
});

// Guards against taking an answer that is no stream, and so ends after no event, for a stream that was broken off.
test('an answer that is no stream is passed on unchanged', async t => {
	const fleet = await startStreamFleet(t);
	const target = await fleet.addTarget('i-1', 'models', {phase: 'decode'});
	const gateway = await fleet.addGateway();
	for (const status of [200, 404]) {
		target.answer = (response, {requestId}) => {
			response.writeHead(status, {'x-request-id': requestId, 'x-response-signature': `proof of ${status}`, 'content-type': 'application/json'});
			response.end('{"model": "m"}');
		};

		const reply = await fleet.ask(gateway, {path: '/questions/1', requestId: `r${status}`, headers: prompt}); // eslint-disable-line no-await-in-loop
		t.match(reply, {
			status, isWhole: true, body: '{"model": "m"}', headers: {'x-response-signature': `proof of ${status}`},
		});
	}
});

/** Answers of an engine that are no continuation of a stream. */
const otherAnswers = [
	{status: 302, type: 'text/plain', isSigned: true},
	{status: 400, type: 'application/json', isSigned: true},
	{status: 404, type: 'application/json', isSigned: true},
	{status: 404, type: 'text/event-stream', isSigned: true},
	{status: 413, type: 'application/json', isSigned: true},
	{status: 429, type: 'application/json', isSigned: true},
	{status: 500, type: 'application/json', isSigned: true},
	{status: 204, type: 'text/plain', isSigned: true},
	{status: 200, type: 'application/json', isSigned: true},
	{status: 200, type: 'text/event-stream', isSigned: false},
	{status: 200, type: undefined, isSigned: true},
] as const;

const errorBody = (status: number): string => status === 204 ? '' : '{"error": "not here"}\n\n';

const otherAnswer = ({status, type, isSigned}: (typeof otherAnswers)[number]): PlatformTargetStandIn['answer'] => (response, {requestId}) => {
	response.writeHead(status, {
		'x-request-id': requestId, ...type === undefined ? {} : {'content-type': type}, ...isSigned ? {'x-response-signature': 'proof of other'} : {},
	});
	response.end(errorBody(status));
};

const startTwoEngines = async (t: Test) => {
	const fleet = await startStreamFleet(t);
	const targets = [await fleet.addTarget('i-1', 'models', {phase: 'decode'}), await fleet.addTarget('i-2', 'models', {phase: 'decode'})];
	const gateway = await fleet.addGateway();
	/** Asks once; the first engine that is reached answers with the first answer, the next one with the second. */
	const askInTurn = async (requestId: string, answers: Array<PlatformTargetStandIn['answer']>) => {
		for (const target of targets) {
			target.answer = (response, arrival, count) => {
				answers.shift()!(response, arrival, count);
			};
		}

		const reply = await fleet.ask(gateway, {path: '/questions/1', requestId, headers: prompt});
		t.strictSame(answers, [], `${requestId}: both engines were reached`);
		return reply;
	};

	return {fleet, askInTurn};
};

// Guards against joining the failure of a second engine to the events of the first, under the head and signature of the first.
test('MIXED: a stream whose second engine answers with anything but a stream does not look complete', async t => {
	for (const other of otherAnswers) {
		const {askInTurn} = await startTwoEngines(t); // eslint-disable-line no-await-in-loop
		const name = `${other.status} ${other.type} ${other.isSigned}`;
		const reply = await askInTurn(name, [streamAnswer([1, 2], 'torn'), otherAnswer(other)]); // eslint-disable-line no-await-in-loop
		t.match(reply, {status: 200, isWhole: false, body: event(1) + event(2)}, name);
	}
});

// Guards against the head of an engine that was lost before the first event being sent with the body of another one's failure.
test('MIXED: a failure of the second engine before any event is passed on with its own status and signature', async t => {
	for (const other of otherAnswers.filter(({status}) => status >= 300)) {
		const {askInTurn} = await startTwoEngines(t); // eslint-disable-line no-await-in-loop
		const name = `${other.status} ${other.type}`;
		const reply = await askInTurn(name, [streamAnswer([], 'torn'), otherAnswer(other)]); // eslint-disable-line no-await-in-loop
		t.match(reply, {
			status: other.status, isWhole: true, body: errorBody(other.status), headers: {'x-response-signature': 'proof of other'},
		}, name);
	}
});

// Guards against the head of an engine that was lost before the first event being sent with the stream of another one.
test('MIXED: a stream of the second engine before any event has the head and signature of that engine', async t => {
	const {askInTurn} = await startTwoEngines(t);
	const reply = await askInTurn('r1', [streamAnswer([], 'torn'), streamAnswer([1, 2], 'whole')]);
	t.match(reply, {
		status: 200, isWhole: true, body: event(1) + event(2), headers: {'x-response-signature': 'proof of 1'},
	});
});

const errorHead = 'HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\n\r\n';

// Guards against the head of an error that an engine writes into its own stream, which looked like one more event.
test('MIXED: a stream without a length or chunks into which its engine writes the head of another answer is broken off before it', async t => {
	const fleet = await startStreamFleet(t);
	const target = await fleet.addTarget('i-1', 'models', {phase: 'decode'});
	const gateway = await fleet.addGateway();
	for (const text of [`${errorHead}failed\n\n`, `id: 2\n${errorHead}`, `${errorHead}failed`]) {
		target.answer = unframedAnswer(event(1) + text);
		const reply = await fleet.ask(gateway, {path: '/dossiers/1', requestId: `r ${text.length}`, headers: prompt}); // eslint-disable-line no-await-in-loop
		t.match(reply, {status: 200, isWhole: false, body: event(1)}, JSON.stringify(text));
	}
});

// Guards against an internal error in place of a decision when the second engine fails.
test('a stream whose second engine fails is broken off without an internal error', async t => {
	const {fleet, askInTurn} = await startTwoEngines(t);
	await askInTurn('r1', [streamAnswer([1], 'torn'), otherAnswer(otherAnswers[6])]);
	await fleet.until(() => fleet.logged('request ended').some(({request, outcome}) => request === 'r1' && outcome === 'failed'));
	t.equal(fleet.logged('request error').length, 0);
});
