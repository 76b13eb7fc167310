/**
Faulty targets that send bytes without end where an answer, or its body, is expected.
*/
import type http from 'node:http';
import {test, type Test} from 'tap';
import type {PlatformTargetStandIn} from '../../stand-ins/platform-target-stand-in.js';
import {EntryFleet} from '../support/entry-fleet.js';
import {writeWithoutEnd} from '../../stand-ins/write-without-end.js';

type Case = {
	readonly name: string;
	readonly path: string;
	readonly status: number;
	readonly headers: (requestId: string) => http.OutgoingHttpHeaders;
	/** What the caller gets. */
	readonly expected: number;
	/** What the gateway logs of it. */
	readonly logged: {readonly event: string; readonly reason?: string};
};

const tooLarge = {event: 'answer too large'};
const foreign = {event: 'attempt brought no answer', reason: 'answer of another request'};

/** Far beyond the time within which an answer is given up, so that only the bound ends it. */
const timeoutMilliseconds = 30_000;
const prompt = {'x-model': 'm', 'x-token-count': '400,50', 'x-prompt-prefix': 'aa:300,bb:100'};
const engine = {
	slots: 8, kvCapacityTokens: 100_000, kvBytes: 1000, linkMbps: 100_000, handleTtlS: 5, roleSwitchS: 3,
};

const start = async (t: Test) => {
	const fleet = await EntryFleet.start(t);
	fleet.configure([
		{
			name: 'bids', pathPrefix: '/bids/', routeType: 'non_idempotent', service: 'floor', timeoutMs: timeoutMilliseconds,
		},
		{
			name: 'dossiers', pathPrefix: '/dossiers/', routeType: 'streaming', service: 'models', sessionAffinity: true, itlTargetMs: 300, timeoutMs: timeoutMilliseconds, targetLatencyMs: timeoutMilliseconds,
		},
	], [{name: 'floor'}, {name: 'models', engine}]);
	return fleet;
};

const endless = ({status, headers}: Pick<Case, 'status' | 'headers'>): PlatformTargetStandIn['answer'] => (response, {requestId}) => {
	response.writeHead(status, headers(requestId));
	writeWithoutEnd(response);
};

const own = (requestId: string): http.OutgoingHttpHeaders => ({'x-request-id': requestId, 'x-response-signature': 'proof'});

const cases: readonly Case[] = [
	{
		name: 'a failure of a plain target', path: '/bids/1', status: 500, headers: own, expected: 502, logged: tooLarge,
	},
	{
		name: 'a failure of an engine', path: '/dossiers/1', status: 500, headers: own, expected: 502, logged: tooLarge,
	},
	{
		name: 'a refusal of a plain target', path: '/bids/1', status: 503, headers: requestId => ({'x-request-id': requestId, 'x-not-executed': '1'}), expected: 503, logged: tooLarge,
	},
	{
		name: 'an answer of another target at the same address', path: '/bids/1', status: 421, headers: requestId => ({'x-request-id': requestId}), expected: 503, logged: tooLarge,
	},
	{
		name: 'an answer to another request', path: '/bids/1', status: 200, headers: () => own('someone-else'), expected: 502, logged: foreign,
	},
	{
		name: 'an answer to another request, of an engine', path: '/dossiers/1', status: 200, headers: () => own('someone-else'), expected: 502, logged: foreign,
	},
];

for (const endlessCase of cases) {
	// Guards against a gateway that keeps all that arrives until its memory is used up, and with it the calls of others.
	test(`LOST: ${endlessCase.name} without end is given up, long before its deadline`, async t => {
		const fleet = await start(t);
		const target = await fleet.addTarget('i-1', endlessCase.path.startsWith('/bids/') ? 'floor' : 'models', endlessCase.path.startsWith('/bids/') ? {} : {phase: 'decode'});
		target.answer = endless(endlessCase);
		const gateway = await fleet.addGateway();
		const reply = await fleet.ask(gateway, {path: endlessCase.path, requestId: 'r1', headers: endlessCase.path.startsWith('/bids/') ? {} : prompt});
		t.equal(reply.status, endlessCase.expected);
		await fleet.until(() => target.arrivals[0]!.isClosed);
		const {event, reason} = endlessCase.logged;
		t.ok(fleet.logged(event).some(line => line.request === 'r1' && line.reason === reason));
	});
}

const piece: PlatformTargetStandIn['answer'] = (response, {requestId}) => {
	response.writeHead(200, {...own(requestId), 'content-type': 'text/event-stream'});
	response.end('id: 1\ndata: piece\n\n');
};

// Guards against the same where another engine can take the prompt.
test('LOST: a prompt that an engine refuses without end is sent to another engine', async t => {
	const fleet = await start(t);
	const targets = [await fleet.addTarget('i-1', 'models', {phase: 'decode'}), await fleet.addTarget('i-2', 'models', {phase: 'decode'})];
	const answers = [endless({status: 503, headers: requestId => ({'x-request-id': requestId, 'x-not-executed': '1'})}), piece];
	for (const target of targets) {
		target.answer = (response, arrival, count) => {
			answers.shift()!(response, arrival, count);
		};
	}

	const gateway = await fleet.addGateway();
	t.match(await fleet.ask(gateway, {path: '/dossiers/1', requestId: 'r1', headers: prompt}), {status: 200, isWhole: true});
	await fleet.until(() => targets.every(({arrivals}) => arrivals.length === 1 && arrivals[0]!.isClosed));
});

// Guards against the same for prompts that are prefilled apart.
test('LOST: a prefill whose answer has no end is repeated at another engine', async t => {
	const fleet = await start(t);
	const faulty = await fleet.addTarget('i-1', 'models', {phase: 'prefill'});
	const decodeEngine = await fleet.addTarget('i-2', 'models', {phase: 'decode'});
	faulty.answer = endless({status: 200, headers: requestId => ({'x-request-id': requestId})});
	decodeEngine.answer = piece;
	const gateway = await fleet.addGateway();
	const reply = await fleet.ask(gateway, {path: '/dossiers/1', requestId: 'r1', headers: {...prompt, 'x-token-count': '40000,50', 'x-prompt-prefix': 'aa:39000,bb:1000'}});
	await fleet.until(() => faulty.arrivals.length > 0 && faulty.arrivals.every(({isClosed}) => isClosed));
	t.match(reply, {status: 200, isWhole: true});
});

// Guards against taking a target that sends too much for one that has crashed.
test('an answer that is given up is not reported as a crash of its target', async t => {
	const fleet = await start(t);
	const target = await fleet.addTarget('i-1', 'floor');
	target.answer = endless({status: 500, headers: own});
	const gateway = await fleet.addGateway();
	await fleet.ask(gateway, {path: '/bids/1', requestId: 'r1'});
	t.equal(fleet.logged('target crashed').length, 0);
	t.equal(fleet.logged('target still listens').length, 0);
});

/** A body that neither grows beyond a bound nor ends. */
const writeSlowly = (response: http.ServerResponse): void => {
	response.write('x');
};

// Guards against callers that wait for their whole timeout although the head of an answer had decided the outcome.
test('a head that says that a call did not run, or that names another request, is not held up by a body that does not end', async t => {
	const fleet = await start(t);
	const target = await fleet.addTarget('i-1', 'floor');
	const gateway = await fleet.addGateway();
	const heads = [
		{status: 503, headers: {'x-not-executed': '1'}, expected: 503},
		{status: 200, headers: own('someone-else'), expected: 502},
	];
	for (const {status, headers, expected} of heads) {
		target.answer = (response, {requestId}) => {
			response.writeHead(status, {'x-request-id': requestId, ...headers});
			writeSlowly(response);
		};

		const reply = await fleet.ask(gateway, {path: '/bids/1', requestId: `r${expected}`}); // eslint-disable-line no-await-in-loop
		t.equal(reply.status, expected);
	}

	await fleet.until(() => target.arrivals.every(({isClosed}) => isClosed));
});

// Guards against closing the connection of every refusal, each of which targets have to accept anew.
test('a refusal whose body ends leaves its connection open for the next call', async t => {
	const fleet = await start(t);
	const target = await fleet.addTarget('i-1', 'floor');
	const connections = new Set<unknown>();
	target.answer = (response, {requestId}) => {
		connections.add(response.socket);
		response.writeHead(503, {'x-request-id': requestId, 'x-not-executed': '1'});
		response.write('busy');
		setTimeout(() => {
			response.end('.');
		}, 20);
	};

	const gateway = await fleet.addGateway();
	for (const requestId of ['r1', 'r2', 'r3']) {
		await fleet.ask(gateway, {path: '/bids/1', requestId}); // eslint-disable-line no-await-in-loop
		await new Promise(resolve => { // eslint-disable-line no-await-in-loop
			setTimeout(resolve, 100);
		});
	}

	t.ok(target.arrivals.length > 3);
	t.ok(connections.size < target.arrivals.length);
});

// Guards against a process that stands still, or runs out of memory, for an event that does not end.
test('CONFIG: a stream with an event without end is broken off after the last whole event, long before its deadline', async t => {
	const fleet = await start(t);
	const target = await fleet.addTarget('i-1', 'models', {phase: 'decode'});
	target.answer = (response, {requestId}) => {
		response.writeHead(200, {...own(requestId), 'content-type': 'text/event-stream'});
		response.write('id: 1\ndata: piece\n\n');
		writeWithoutEnd(response);
	};

	const gateway = await fleet.addGateway();
	t.match(await fleet.ask(gateway, {path: '/dossiers/1', requestId: 'r1', headers: prompt}), {status: 200, isWhole: false, body: 'id: 1\ndata: piece\n\n'});
	await fleet.until(() => target.arrivals[0]!.isClosed);
	t.ok(fleet.logged('answer too large').some(({request}) => request === 'r1'));
});
