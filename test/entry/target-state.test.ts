/**
What targets say of themselves in their answers: that they are leaving, and that they want
nothing for a while.
*/
import type http from 'node:http';
import {test, type Test} from 'tap';
import type {PlatformTargetStandIn} from '../../stand-ins/platform-target-stand-in.js';
import {answerAsEngine} from '../support/answer-as-engine.js';
import {EntryFleet} from '../support/entry-fleet.js';

type Headers = Readonly<Record<string, string>>;

const calls = {
	name: 'prices', pathPrefix: '/prices/', routeType: 'idempotent', service: 'floor', maxAttempts: 3,
};
const prompts = {
	name: 'dossiers', pathPrefix: '/dossiers/', routeType: 'streaming', service: 'models', sessionAffinity: true, itlTargetMs: 300, targetLatencyMs: 1500, timeoutMs: 20_000, maxAttempts: 3,
};
const engine = {
	slots: 64, kvCapacityTokens: 400_000, kvBytes: 1000, linkMbps: 100_000, handleTtlS: 5, roleSwitchS: 3,
};
const promptHeaders = {'x-model': 'm', 'x-token-count': '17000,50', 'x-prompt-prefix': 'aa:13300,bb:3700'};

const start = async (t: Test) => {
	const fleet = await EntryFleet.start(t);
	fleet.configure([calls, prompts], [{name: 'floor'}, {name: 'models', engine}]);
	return fleet;
};

const answerWith = (more: Headers): PlatformTargetStandIn['answer'] => (response, {requestId}) => {
	response.writeHead(200, {'x-request-id': requestId, 'x-response-signature': 'proof', ...more});
	response.end('done');
};

const refuseWith = (more: Headers, requestIdOf = (requestId: string): string => requestId): PlatformTargetStandIn['answer'] => (response, {requestId}) => {
	response.writeHead(503, {'x-request-id': requestIdOf(requestId), 'x-not-executed': '1', ...more});
	response.end();
};

const ask = async (fleet: EntryFleet, gateway: Awaited<ReturnType<EntryFleet['addGateway']>>, count: number, path = '/prices/1', headers: http.OutgoingHttpHeaders = {}) => {
	const replies = [];
	for (let index = 0; index < count; index++) {
		replies.push(await fleet.ask(gateway, {path, requestId: `${path} ${index} ${replies.length}`, headers})); // eslint-disable-line no-await-in-loop
	}

	return replies;
};

test('DRAIN: a target that says in an answer that it is leaving gets nothing more, although the store lists it as ready or is away', async t => {
	const fleet = await start(t);
	const leaving = await fleet.addTarget('i-1', 'floor');
	const staying = await fleet.addTarget('i-2', 'floor');
	const gateway = await fleet.addGateway();
	leaving.answer = answerWith({'server-leaving': '1'});
	while (leaving.arrivals.length === 0) {
		await ask(fleet, gateway, 1); // eslint-disable-line no-await-in-loop
	}

	const before = staying.arrivals.length;
	fleet.store.fault = 'reset';
	const replies = await ask(fleet, gateway, 20);
	t.equal(leaving.arrivals.length, 1);
	t.equal(staying.arrivals.length - before, 20);
	t.ok(replies.every(({status, headers}) => status === 200 && headers['server-leaving'] === undefined));
	t.equal(fleet.logged('target leaving').filter(({source}) => source === 'answer').length, 1);
});

test('DRAIN: the head of a stream counts, long before the stream ends', async t => {
	const fleet = await start(t);
	const target = await fleet.addTarget('i-1', 'models', {phase: 'decode'});
	const gateway = await fleet.addGateway();
	let finish = (): void => undefined;
	target.answer = (response, {requestId}) => {
		response.writeHead(200, {
			'x-request-id': requestId, 'x-response-signature': 'proof', 'content-type': 'text/event-stream', 'server-leaving': '1',
		});
		response.write('id: 1\ndata: piece\n\n');
		finish = () => {
			response.end('id: 2\ndata: last\n\n');
		};
	};

	const first = fleet.ask(gateway, {path: '/dossiers/1', requestId: 'stream', headers: promptHeaders});
	await fleet.until(() => fleet.logged('target leaving').length > 0);
	const second = await fleet.ask(gateway, {path: '/dossiers/1', requestId: 'next', headers: promptHeaders});
	t.equal(second.status, 503, 'there is no other target');
	t.equal(target.arrivals.length, 1);
	finish();
	const reply = await first;
	t.match(reply, {status: 200, isWhole: true}, 'the stream goes on to its end');
	t.match(reply.body, 'last');
});

test('a new incarnation at the same address is used although the former one was leaving', async t => {
	const fleet = await start(t);
	const target = await fleet.addTarget('i-1', 'floor');
	const gateway = await fleet.addGateway();
	target.answer = answerWith({'server-leaving': '1'});
	await ask(fleet, gateway, 1);
	const [refused] = await ask(fleet, gateway, 1);
	t.equal(refused!.status, 503);
	target.answer = answerWith({});
	fleet.store.put('servers/i-1', target.entry('floor', {born: 2000}));
	await fleet.until(() => fleet.logged('target changed').length > 0);
	const [served] = await ask(fleet, gateway, 1);
	t.equal(served!.status, 200);
});

test('an answer that belongs to another request counts neither as leaving nor as a pause', async t => {
	const fleet = await start(t);
	await fleet.addTarget('i-1', 'floor');
	const staying = await fleet.addTarget('i-2', 'floor');
	const gateway = await fleet.addGateway();
	staying.answer = refuseWith({'server-leaving': '1', 'retry-after': '30'}, () => 'other');
	await ask(fleet, gateway, 6);
	t.equal(fleet.logged('target leaving').length, 0);
	t.equal(fleet.logged('target paused').length, 0);
});

test('BUDGET: a target that asks for a pause gets nothing until its end, and callers are served by the others', async t => {
	const fleet = await start(t);
	const full = await fleet.addTarget('i-1', 'floor');
	await fleet.addTarget('i-2', 'floor');
	const gateway = await fleet.addGateway();
	full.answer = refuseWith({'retry-after': '300'});
	const replies = await ask(fleet, gateway, 30);
	t.equal(full.arrivals.length, 1);
	t.ok(replies.every(({status}) => status === 200));
});

test('BUDGET: prompts and polls of the cache keep to a pause, of prefill engines and of decode engines', async t => {
	const fleet = await start(t);
	const prefillEngine = await fleet.addTarget('i-1', 'models', {phase: 'prefill'});
	const decodeEngine = await fleet.addTarget('i-2', 'models', {phase: 'decode'});
	let polls = 0;
	prefillEngine.tellKept = () => {
		polls++;
		return {
			epoch: 1, next: 0, lost: false, events: [],
		};
	};

	const gateway = await fleet.addGateway();
	prefillEngine.answer = refuseWith({'retry-after': '300'});
	decodeEngine.answer = answerAsEngine;
	await fleet.until(() => polls > 0);
	const replies = await ask(fleet, gateway, 5, '/dossiers/1', promptHeaders);
	t.ok(replies.every(({status}) => status === 200), 'prompts are prefilled in place meanwhile');
	t.equal(prefillEngine.arrivals.length, 1);
	const pollsBefore = polls;
	await fleet.until(() => fleet.store.calls > 8);
	t.ok(polls <= pollsBefore + 1, 'at most the poll that was due when the pause began');
});

test('when all targets of a service pause, callers are rejected at once, with a time to come back', async t => {
	const fleet = await start(t);
	const targets = [await fleet.addTarget('i-1', 'floor'), await fleet.addTarget('i-2', 'floor')];
	const gateway = await fleet.addGateway();
	for (const target of targets) {
		target.answer = refuseWith({'retry-after': '300'});
	}

	await ask(fleet, gateway, 2);
	const arrived = targets.reduce((sum, {arrivals}) => sum + arrivals.length, 0);
	const replies = await Promise.all(Array.from({length: 12}, async (_, index) => fleet.ask(gateway, {path: '/prices/1', requestId: `p${index}`})));
	t.ok(replies.every(({status, body}) => status === 503 && body.includes('"code":1020')));
	t.equal(targets.reduce((sum, {arrivals}) => sum + arrivals.length, 0), arrived, 'no target got any of them');
	t.ok(replies.every(({headers}) => Number(headers['retry-after']) > 0));
});
