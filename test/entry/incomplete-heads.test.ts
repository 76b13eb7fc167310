/**
Targets that stop inside the head of their answer.
*/
import {test} from 'tap';
import type {RawTargetStandIn} from '../../stand-ins/raw-target-stand-in.js';
import {EntryFleet} from '../support/entry-fleet.js';

const prompt = {'x-model': 'm', 'x-token-count': '400,50', 'x-prompt-prefix': 'aa:300,bb:100'};

const headOf = (requestId: string): string => [
	'HTTP/1.1 200 OK', `X-Request-Id: ${requestId}`, 'X-Response-Signature: proof', 'Content-Type: text/event-stream', '', '',
].join('\r\n');

/** Parts of the head that come, in characters from its end, or from its beginning. */
const cuts = [-1, -2, -3, -4, -10, -30, -60, 1, 9, 12, 15, 17] as const;

// Guards against a 200 with an empty or short body in place of an answer whose head is not whole.
test('MIXED: a head that its target stops inside of is not passed on as an answer, whether it closes or resets', {timeout: 120_000}, async t => {
	const fleet = await EntryFleet.start(t);
	fleet.configure([
		{
			name: 'bids', pathPrefix: '/bids/', routeType: 'non_idempotent', service: 'floor',
		},
		{
			name: 'prices', pathPrefix: '/prices/', routeType: 'idempotent', service: 'floor', maxAttempts: 2,
		},
		{
			name: 'dossiers', pathPrefix: '/dossiers/', routeType: 'streaming', service: 'models', sessionAffinity: true, itlTargetMs: 300,
		},
	], [
		{name: 'floor'},
		{
			name: 'models', engine: {
				slots: 8, kvCapacityTokens: 100_000, kvBytes: 1000, linkMbps: 100_000, handleTtlS: 5, roleSwitchS: 3,
			},
		},
	]);
	let cut = 0;
	let isReset = false;
	const answer: RawTargetStandIn['answer'] = (socket, {requestId}) => {
		socket.write(headOf(requestId).slice(0, cut), () => {
			if (isReset) {
				socket.resetAndDestroy();
			} else {
				socket.end();
			}
		});
	};

	await fleet.addRawTarget('i-1', 'floor', answer);
	await fleet.addRawTarget('i-2', 'models', answer, {phase: 'decode'});

	const gateway = await fleet.addGateway();
	for (const kind of ['bids', 'prices', 'dossiers']) {
		for (const place of cuts) {
			for (const reset of [false, true]) {
				cut = place;
				isReset = reset;
				const name = `${kind} ${place} ${reset ? 'reset' : 'end'}`;
				const reply = await fleet.ask(gateway, {path: `/${kind}/1`, requestId: name, headers: kind === 'dossiers' ? prompt : {}}); // eslint-disable-line no-await-in-loop
				t.ok(reply.status >= 500 && reply.isWhole, `${name}: ${reply.status}`);
			}
		}
	}
});
