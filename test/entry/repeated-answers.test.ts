/**
Targets that write an earlier answer once more on a kept connection, where the next answer is expected.
*/
import type net from 'node:net';
import {test, type Test} from 'tap';
import {RawTargetStandIn} from '../../stand-ins/raw-target-stand-in.js';
import {EntryFleet} from '../support/entry-fleet.js';

type Promised = {readonly status: string; readonly headers: readonly string[]};

/** Answers that promise that a request has not run. */
const refusals: readonly Promised[] = [
	{status: '503 Service Unavailable', headers: ['X-Not-Executed: 1']},
	{status: '429 Too Many Requests', headers: ['X-Not-Executed: 1']},
	{status: '421 Misdirected Request', headers: []},
];
/** Statuses with which a caller is told that its request has not run. */
const promises: ReadonlySet<number> = new Set([408, 421, 429, 503]);

const start = async (t: Test): Promise<EntryFleet> => {
	const fleet = await EntryFleet.start(t);
	fleet.configure([
		{
			name: 'bids', pathPrefix: '/bids/', routeType: 'non_idempotent', service: 'floor', maxAttempts: 3,
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
	return fleet;
};

const questions = {
	floor: {
		path: '/bids/1', headers: {}, type: 'text/plain', body: 'done',
	},
	models: {
		path: '/dossiers/1', headers: {'x-model': 'm', 'x-token-count': '400,50', 'x-prompt-prefix': 'aa:300,bb:100'}, type: 'text/event-stream', body: 'id: 1\ndata: piece\n\n',
	},
} as const;

/** A sound answer to a request that has run. */
const whole = (service: keyof typeof questions, requestId: string): string => RawTargetStandIn.answer({
	status: '200 OK', requestId, headers: [`Content-Type: ${questions[service].type}`], body: questions[service].body,
});

for (const refusal of refusals) {
	for (const service of ['floor', 'models'] as const) {
		// Guards against a promise that a request has not run, and against its second run, because of an earlier refusal without an id.
		test(`REFUSED, TWICE: an earlier refusal without an id, ${refusal.status}, is not taken for that of the next request to ${service}`, async t => {
			const fleet = await start(t);
			const used = new Set<net.Socket>();
			const answer: RawTargetStandIn['answer'] = (socket, {requestId}) => {
				const isRepeated = used.has(socket);
				used.add(socket);
				socket.write(isRepeated ? RawTargetStandIn.answer({...refusal, requestId: undefined, body: 'no'}) : whole(service, requestId));
			};

			const targets = [await fleet.addRawTarget('i-1', service, answer, {phase: 'decode'}), await fleet.addRawTarget('i-2', service, answer, {phase: 'decode'})];
			const gateway = await fleet.addGateway();
			const {path, headers} = questions[service];
			for (let count = 1; count <= 6; count++) {
				const requestId = `r${count}`;
				const {status} = await fleet.ask(gateway, {path, headers, requestId}); // eslint-disable-line no-await-in-loop
				t.notOk(promises.has(status), `${requestId}: ${status}`);
				t.equal(targets.flatMap(({arrivals}) => arrivals).filter(arrival => arrival.requestId === requestId).length, 1, `${requestId} has run once`);
			}

			t.ok(targets.flatMap(({arrivals}) => arrivals).length > used.size, 'some of them came on a used connection');
		});
	}
}

// Guards against losing the second attempt of requests that targets refuse without naming them, where no earlier answer can be meant.
test('a refusal without an id is taken for that of the request on a connection that has carried no other', async t => {
	const fleet = await start(t);
	const target = await fleet.addRawTarget('i-1', 'floor', socket => {
		socket.end(RawTargetStandIn.answer({...refusals[0]!, requestId: undefined}));
	});
	const gateway = await fleet.addGateway();
	t.match(await fleet.ask(gateway, {path: '/bids/1', requestId: 'r1'}), {status: 503});
	t.ok(target.arrivals.length > 1);
});

for (const refusal of refusals.slice(0, 2)) {
	// Guards against taking the refusal of a request's first attempt, written again, for that of its second attempt, which runs.
	test(`REFUSED: the refusal of a first attempt, ${refusal.status}, is not taken for that of the second at the same target`, async t => {
		const fleet = await start(t);
		let refusedOn: {readonly socket: net.Socket; readonly connection: number} | undefined;
		const target = await fleet.addRawTarget('i-1', 'floor', (socket, {requestId, connection}) => {
			const text = RawTargetStandIn.answer({...refusal, requestId});
			if (refusedOn === undefined) {
				refusedOn = {socket, connection};
				socket.write(text);
				return;
			}

			// The request runs now, and the earlier refusal comes once more on the connection that carried it.
			refusedOn.socket.write(text);
			if (refusedOn.connection !== connection) {
				socket.write(whole('floor', requestId));
			}
		});
		const gateway = await fleet.addGateway();
		const {status} = await fleet.ask(gateway, {path: '/bids/1', requestId: 'r1'});
		t.equal(target.arrivals.length, 2, 'the second attempt has run');
		t.equal(status, 200);
	});
}
