/**
A gateway that learns how fast the targets of a plain service are, from its own calls.
*/
import {test, type Test} from 'tap';
import type {EntryContext} from '../../source/entry/entry-context.js';
import {recordTargetState} from '../../source/entry/record-target-state.js';
import type {AnswerFacts} from '../../source/fleet/answer-facts.js';
import type {TargetRecord} from '../../source/fleet/target-record.js';
import type {PlatformTargetStandIn} from '../../stand-ins/platform-target-stand-in.js';
import {EntryFleet} from '../support/entry-fleet.js';
import {loneRateLimits} from '../support/lone-rate-limits.js';

const calls = {
	name: 'prices', pathPrefix: '/prices/', routeType: 'idempotent', service: 'floor', maxAttempts: 3,
};

/** Time of a call at the slow and at the fast target. They differ so much that a busy machine does not hide it. */
const milliseconds = {slow: 150, fast: 15} as const;
const atOnce = 4;

const answerAfter = (delay: number, load = '1,0,8,100'): PlatformTargetStandIn['answer'] => (response, {requestId}) => {
	setTimeout(() => {
		response.writeHead(200, {'x-request-id': requestId, 'x-response-signature': 'proof', 'x-replica-load': load});
		response.end('done');
	}, delay);
};

const start = async (t: Test) => {
	const fleet = await EntryFleet.start(t);
	fleet.configure([calls], [{name: 'floor', maxConnections: 64}]);
	const slow = await fleet.addTarget('i-1', 'floor', {slots: 8});
	const fast = await fleet.addTarget('i-2', 'floor', {slots: 8});
	const gateway = await fleet.addGateway();
	return {
		fleet, slow, fast, gateway,
	};
};

const ask = async ({fleet, gateway}: Awaited<ReturnType<typeof start>>, name: string, count: number): Promise<readonly number[]> => {
	const each = Array.from({length: atOnce}, async (_, line) => {
		const statuses = [];
		for (let index = 0; index < count / atOnce; index++) {
			statuses.push(await fleet.status(gateway, {path: '/prices/1', requestId: `${name} ${line} ${index}`})); // eslint-disable-line no-await-in-loop
		}

		return statuses;
	});
	const statuses = await Promise.all(each);
	return statuses.flat();
};

// Guards against outcomes that are not reported to what learns from them, and against figures that no decision reads.
test('the fast target gets most calls once a few have been answered, and the change is logged', async t => {
	const played = await start(t);
	const {fleet, slow, fast} = played;
	slow.answer = answerAfter(milliseconds.slow);
	fast.answer = answerAfter(milliseconds.fast);
	await ask(played, 'first', 160);
	await fleet.until(() => fleet.logged('capacity learned').length > 0);
	const before = {slow: slow.arrivals.length, fast: fast.arrivals.length};
	const statuses = await ask(played, 'second', 80);
	t.ok(statuses.every(status => status === 200));
	const [slowCalls, fastCalls] = [slow.arrivals.length - before.slow, fast.arrivals.length - before.fast];
	t.ok(fastCalls > slowCalls * 3, `${slowCalls} ${fastCalls}`);
	t.ok(fleet.logged('capacity learned').every(({target}) => target === 'i-1' || target === 'i-2'));
});

// Guards against a target that is slow at the moment and says so, and gets its share all the same.
test('a target that reports to be slow at the moment gets less', async t => {
	const played = await start(t);
	const {slow, fast} = played;
	slow.answer = answerAfter(milliseconds.fast, '1,0,8,100');
	fast.answer = answerAfter(milliseconds.fast, '1,0,8,100');
	await ask(played, 'first', 60);
	t.ok(slow.arrivals.length > 10 && fast.arrivals.length > 10, `${slow.arrivals.length} ${fast.arrivals.length}`);
	const before = {slow: slow.arrivals.length, fast: fast.arrivals.length};
	slow.answer = answerAfter(milliseconds.fast, '1,0,8,300');
	await ask(played, 'second', 40);
	const [slowCalls, fastCalls] = [slow.arrivals.length - before.slow, fast.arrivals.length - before.fast];
	t.ok(fastCalls > slowCalls, `${slowCalls} ${fastCalls}`);
});

// Guards against a malformed report that ends an answer, or that nobody can see.
test('a malformed report is counted, and the call is answered', t => {
	const counted: string[] = [];
	const facts: Partial<AnswerFacts> = {
		isLeaving: false, pauseMilliseconds: undefined, isLoadMalformed: true, rateLimit: {kind: 'none'},
	};
	const context: Partial<EntryContext> = {metrics: {count: (name: string) => counted.push(name)} as unknown as EntryContext['metrics'], rateLimits: loneRateLimits(() => 0), now: () => 0};
	recordTargetState(context as EntryContext, {incarnation: 'i-1 1', id: 'i-1', address: ''} as unknown as TargetRecord, facts as AnswerFacts);
	t.strictSame(counted, ['target.load-malformed']);
	t.end();
});
