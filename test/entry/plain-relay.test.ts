/**
Answers that callers of plain services get, compared with what targets received.
*/
import {test, type Test} from 'tap';
import type {PlatformTargetStandIn} from '../../stand-ins/platform-target-stand-in.js';
import {EntryFleet} from '../support/entry-fleet.js';

const start = async (t: Test) => {
	const fleet = await EntryFleet.start(t);
	fleet.configure([
		{
			name: 'bids', pathPrefix: '/bids/', routeType: 'non_idempotent', service: 'floor',
		},
		{
			name: 'prices', pathPrefix: '/prices/', routeType: 'idempotent', service: 'floor', maxAttempts: 2,
		},
	], [{name: 'floor'}]);
	const first = await fleet.addTarget('i-1', 'floor');
	const second = await fleet.addTarget('i-2', 'floor');
	const gateway = await fleet.addGateway();
	return {
		fleet, first, second, gateway,
	};
};

test('a complete answer is passed on with its signature and its body unchanged', async t => {
	const {fleet, first, second, gateway} = await start(t);
	const bytes = '\u0000\u00FF\u0080binary\r\n';
	for (const target of [first, second]) {
		target.answer = (response, {requestId, body}) => {
			response.writeHead(200, {'x-request-id': requestId, 'x-response-signature': 'proof', 'x-extra': 'kept'});
			response.end(body, 'latin1');
		};
	}

	const reply = await fleet.ask(gateway, {
		path: '/bids/7?lot=%C3%A9', requestId: 'r1', onRequest(request) {
			request.write(bytes, 'latin1');
		},
	});
	t.match(reply, {
		status: 200, body: bytes, isWhole: true, headers: {'x-response-signature': 'proof', 'x-extra': 'kept', 'x-request-id': 'r1'},
	});
	const arrivals = [...first.arrivals, ...second.arrivals];
	t.equal(arrivals.length, 1);
	t.match(arrivals[0], {method: 'POST', path: '/bids/7?lot=%C3%A9', body: bytes});
});

test('a bid whose target resets the connection is sent once, and is not reported as not run', async t => {
	const {fleet, first, second, gateway} = await start(t);
	for (const target of [first, second]) {
		target.answer = response => {
			response.socket?.resetAndDestroy();
		};
	}

	const reply = await fleet.ask(gateway, {path: '/bids/1', requestId: 'r1'});
	t.equal(reply.status, 502);
	t.equal(first.arrivals.length + second.arrivals.length, 1);
});

test('a bid that a target refused without running it goes to another', async t => {
	const {fleet, first, second, gateway} = await start(t);
	let refused = 0;
	const answer: PlatformTargetStandIn['answer'] = (response, {requestId}) => {
		refused++;
		response.writeHead(refused === 1 ? 503 : 200, {'x-request-id': requestId, ...refused === 1 ? {'x-not-executed': '1'} : {'x-response-signature': 'proof'}});
		response.end();
	};

	first.answer = answer;
	second.answer = answer;

	const reply = await fleet.ask(gateway, {path: '/bids/1', requestId: 'r1'});
	t.equal(reply.status, 200);
	t.equal(first.arrivals.length, 1);
	t.equal(second.arrivals.length, 1);
});

test('a bid that every target refused is refused with a Retry-After header', async t => {
	const {fleet, first, second, gateway} = await start(t);
	for (const target of [first, second]) {
		target.answer = (response, {requestId}) => {
			response.writeHead(503, {'x-request-id': requestId, 'x-not-executed': '1'});
			response.end();
		};
	}

	const reply = await fleet.ask(gateway, {path: '/bids/1', requestId: 'r1', headers: {'x-deadline-ms': '1500'}});
	t.equal(reply.status, 503);
	t.ok(Number(reply.headers['retry-after']) > 0 && Number(reply.headers['retry-after']) <= 0.5);
	t.match(JSON.parse(reply.body), {error: {ran: 'not run'}});
});

test('BUDGET: once the retry budget is spent, a refused call is not sent again, and its caller gets a Retry-After header', async t => {
	const {fleet, first, second, gateway} = await start(t);
	for (const target of [first, second]) {
		target.answer = (response, {requestId}) => {
			response.writeHead(503, {'x-request-id': requestId, 'x-not-executed': '1'});
			response.end();
		};
	}

	const requests = Array.from({length: 8}, (_, index) => `r${index}`);
	for (const requestId of requests) {
		await fleet.ask(gateway, {path: '/bids/1', requestId}); // eslint-disable-line no-await-in-loop
	}

	// Retries of a fifth of the requests, and the three that a gateway of a new fleet may send before requests have earned any.
	t.ok(first.arrivals.length + second.arrivals.length <= requests.length + (requests.length * 0.2) + 3);
	const reply = await fleet.ask(gateway, {path: '/bids/1', requestId: 'last'});
	t.match(JSON.parse(reply.body), {error: {code: 1011, ran: 'not run'}});
	t.ok(Number(reply.headers['retry-after']) > 0);
});

test('a price check whose answer is lost is retried at another target', async t => {
	const {fleet, first, second, gateway} = await start(t);
	let attemptCount = 0;
	const answer: PlatformTargetStandIn['answer'] = (response, {requestId}) => {
		attemptCount++;
		if (attemptCount === 1) {
			response.socket?.resetAndDestroy();
			return;
		}

		response.writeHead(200, {'x-request-id': requestId, 'x-response-signature': 'proof'});
		response.end('12');
	};

	first.answer = answer;
	second.answer = answer;

	const reply = await fleet.ask(gateway, {path: '/prices/1', requestId: 'r1', method: 'GET'});
	t.match(reply, {status: 200, body: '12'});
	t.equal(attemptCount, 2);
});

test('an answer that names another request is not passed on', async t => {
	const {fleet, first, second, gateway} = await start(t);
	for (const target of [first, second]) {
		target.answer = response => {
			response.writeHead(200, {'x-request-id': 'someone-else', 'x-response-signature': 'proof'});
			response.end('secret');
		};
	}

	const reply = await fleet.ask(gateway, {path: '/bids/1', requestId: 'r1'});
	t.equal(reply.status, 502);
	t.notMatch(reply.body, /secret/);
	t.equal(first.arrivals.length + second.arrivals.length, 1);
});

test('a successful answer without a signature, or with a content encoding, is not passed on', async t => {
	const {fleet, first, second, gateway} = await start(t);
	for (const headers of [{}, {'x-response-signature': 'proof', 'content-encoding': 'gzip'}]) {
		for (const target of [first, second]) {
			target.answer = (response, {requestId}) => {
				response.writeHead(200, {'x-request-id': requestId, ...headers});
				response.end('forged');
			};
		}

		const reply = await fleet.ask(gateway, {path: '/bids/1', requestId: 'r1'}); // eslint-disable-line no-await-in-loop
		t.equal(reply.status, 502);
	}
});

test('the failure that a target returns is passed on unchanged, and the bid is not retried', async t => {
	const {fleet, first, second, gateway} = await start(t);
	for (const target of [first, second]) {
		target.answer = (response, {requestId}) => {
			response.writeHead(500, {'x-request-id': requestId, 'x-response-signature': 'proof'});
			response.end('no');
		};
	}

	const reply = await fleet.ask(gateway, {path: '/bids/1', requestId: 'r1'});
	t.match(reply, {status: 500, body: 'no', headers: {'x-response-signature': 'proof'}});
	t.equal(first.arrivals.length + second.arrivals.length, 1);
});

test('headers that only the system may set are not taken from the caller, and the remaining deadline is passed on', async t => {
	const {fleet, first, second, gateway} = await start(t);
	await fleet.ask(gateway, {
		path: '/bids/1', requestId: 'r1', headers: {
			'x-deadline-ms': '1500', 'x-kv-source': '10.0.0.1:1/x', 'x-pin-ms': '9', 'x-kv-backup': '10.0.0.1:1', 'x-kv-retention': 'h', 'x-inference-phase': 'prefill', 'x-expect-instance': 'i-other', 'kv-fetch': '10.0.0.1:1', 'x-own': 'kept', connection: 'x-hop, close', 'x-hop': '1',
		},
	});
	const {headers} = [...first.arrivals, ...second.arrivals][0]!;
	t.strictSame(['x-kv-source', 'x-pin-ms', 'x-kv-backup', 'x-kv-retention', 'x-inference-phase', 'kv-fetch', 'x-hop'].filter(name => headers[name] !== undefined), []);
	t.equal(headers['x-own'], 'kept');
	t.match(String(headers['x-expect-instance']), /^i-[12]$/);
	t.ok(Number(headers['x-deadline-ms']) <= 1500);
});

test('a call that no target answers before the deadline gets an error that says that it may have run', async t => {
	const {fleet, first, second, gateway} = await start(t);
	for (const target of [first, second]) {
		target.answer = () => undefined;
	}

	const reply = await fleet.ask(gateway, {path: '/bids/1', requestId: 'r1', headers: {'x-deadline-ms': '400'}});
	t.equal(reply.status, 504);
	await fleet.until(() => [...first.arrivals, ...second.arrivals].every(({isClosed}) => isClosed));
});

test('an attempt is aborted when its caller disconnects', async t => {
	const {fleet, first, second, gateway} = await start(t);
	for (const target of [first, second]) {
		target.answer = () => undefined;
	}

	const reply = fleet.ask(gateway, {
		path: '/bids/1', requestId: 'r1', onRequest(request) {
			void fleet.until(() => first.arrivals.length + second.arrivals.length === 1).then(() => { // eslint-disable-line promise/prefer-await-to-then
				request.destroy();
			});
		},
	});
	await reply;
	await fleet.until(() => [...first.arrivals, ...second.arrivals][0]!.isClosed);
	await fleet.until(() => fleet.logged('request ended').some(({request, outcome}) => request === 'r1' && outcome === 'caller gone'));
	t.pass('the attempt was aborted and logged');
});

// Guards against a caller that places a bid again, because a target that may have run it answered with a status that promises the opposite.
test('REFUSED: a status that promises that a bid has not run is passed on only if its target says so itself', async t => {
	const {fleet, first, second, gateway} = await start(t);
	for (const status of [408, 429, 503]) {
		for (const target of [first, second]) {
			target.answer = (response, {requestId}) => {
				response.writeHead(status, {'x-request-id': requestId, 'x-response-signature': 'proof'});
				response.end('busy');
			};
		}

		const bid = await fleet.ask(gateway, {path: '/bids/1', requestId: `bid ${status}`}); // eslint-disable-line no-await-in-loop
		t.equal(bid.status, 502);
		t.match(JSON.parse(bid.body), {error: {code: 2006, ran: 'unknown'}});
		t.equal(bid.headers['x-response-signature'], undefined);
		t.equal([...first.arrivals, ...second.arrivals].filter(({requestId}) => requestId === `bid ${status}`).length, 1);
		const price = await fleet.ask(gateway, {path: '/prices/1', requestId: `price ${status}`, method: 'GET'}); // eslint-disable-line no-await-in-loop
		t.match(price, {status, body: 'busy', headers: {'x-response-signature': 'proof'}});
		t.equal([...first.arrivals, ...second.arrivals].filter(({requestId}) => requestId === `price ${status}`).length, 2, 'a request that may run twice is tried at the other target first');
	}
});
