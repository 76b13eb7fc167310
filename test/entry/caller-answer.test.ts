/**
Answers that arrive faster than their caller reads them, or that do not end.
*/
import {Buffer} from 'node:buffer';
import {EventEmitter} from 'node:events';
import type http from 'node:http';
import {test, type Test} from 'tap';
import {CallerAnswer} from '../../source/entry/caller-answer.js';
import type {PlatformTargetStandIn} from '../../stand-ins/platform-target-stand-in.js';
import {EntryFleet} from '../support/entry-fleet.js';
import {writeWithoutEnd} from '../../stand-ins/write-without-end.js';

const soundBytes = 4_000_000;
const timeoutMilliseconds = 600;

const start = async (t: Test, answer: PlatformTargetStandIn['answer']) => {
	const fleet = await EntryFleet.start(t);
	fleet.configure([
		{
			name: 'prices', pathPrefix: '/prices/', routeType: 'idempotent', service: 'floor',
		},
	], [{name: 'floor'}]);
	const target = await fleet.addTarget('i-1', 'floor');
	target.answer = answer;
	return {fleet, target, gateway: await fleet.addGateway()};
};

const soundAnswer: PlatformTargetStandIn['answer'] = (response, {requestId}) => {
	response.writeHead(200, {'x-request-id': requestId, 'x-response-signature': 'proof', 'content-length': String(soundBytes)});
	response.end('x'.repeat(soundBytes));
};

// Guards against a gateway that ends itself when it resumes reading an answer that its caller has caught up with.
test('LOST: an answer larger than what is buffered for its caller is passed on whole', async t => {
	const {fleet, gateway} = await start(t, soundAnswer);
	const reply = await fleet.ask(gateway, {path: '/prices/1', requestId: 'r1', method: 'GET'});
	t.match(reply, {status: 200, isWhole: true});
	t.equal(reply.body.length, soundBytes);
});

// Guards against the same end of the process when the caller begins to read late.
test('LOST: a large answer is passed on whole to a caller that reads it late', async t => {
	const {fleet, gateway} = await start(t, soundAnswer);
	const reply = await fleet.ask(gateway, {
		path: '/prices/1', requestId: 'r1', method: 'GET', onRequest(request) {
			request.once('response', response => {
				response.pause();
				setTimeout(() => {
					response.resume();
				}, 200);
			});
		},
	});
	t.match(reply, {status: 200, isWhole: true});
	t.equal(reply.body.length, soundBytes);
});

// Guards against a body without end that ends the process, or that is passed on as complete.
test('LOST: a body without end is broken off at the timeout, and other calls go on', async t => {
	const {fleet, target, gateway} = await start(t, (response, {requestId}) => {
		response.writeHead(200, {'x-request-id': requestId, 'x-response-signature': 'proof'});
		writeWithoutEnd(response);
	});
	const reply = await fleet.ask(gateway, {
		path: '/prices/1', requestId: 'r1', method: 'GET', headers: {'x-deadline-ms': String(timeoutMilliseconds)},
	});
	t.match(reply, {status: 200, isWhole: false});
	target.answer = soundAnswer;
	t.match(await fleet.ask(gateway, {path: '/prices/1', requestId: 'r2', method: 'GET'}), {status: 200, isWhole: true});
});

// Guards against reading the second attempt of a stream without a bound, because the first was paused for the same slow caller.
test('LOST: each attempt whose answer a caller does not read is paused, and resumed when the caller has caught up', t => {
	const emitter = (): EventEmitter => new EventEmitter(); // eslint-disable-line unicorn/prefer-event-target
	const response = Object.assign(emitter(), {req: {socket: emitter()}, writableLength: 300_000, write: () => false});
	const answer = new CallerAnswer(response as unknown as http.ServerResponse, () => false);
	const events: string[] = [];
	const flowOf = (name: string) => ({
		pause() {
			events.push(`${name} paused`);
		},
		resume() {
			events.push(`${name} resumed`);
		},
	});
	const [first, second] = [flowOf('first'), flowOf('second')];
	for (const flow of [first, first, second, second]) {
		answer.write(Buffer.from('x'), flow);
	}

	t.strictSame(events, ['first paused', 'second paused']);
	response.emit('drain');
	t.strictSame(events.slice(2), ['first resumed', 'second resumed']);
	t.end();
});
