/**
Tests whose counts a gateway waits for, and what it sends a new holder.
*/
import {test} from 'tap';
import {CollectedUsage} from '../../source/decisions/duties/collected-usage.js';
import {PeerReach} from '../../source/decisions/duties/peer-reach.js';
import {ReportPlan} from '../../source/decisions/duties/report-plan.js';
import type {DutyLease} from '../../source/duties/duty-lease.js';
import type {UsageCounter} from '../../source/duties/usage-counter.js';
import {UsageExchange} from '../../source/duties/usage-exchange.js';
import type {PeerMessage} from '../../source/generated/peer-messages.js';

type Usage = Extract<PeerMessage, {kind: 'usage'}>;

const usage = (counter: string, more: Partial<Usage> = {}): Usage => ({
	kind: 'usage', counter, firstWindow: 1, completeThrough: 4, isFinal: false, windows: [{window: 5, teams: ['cork'], counts: [3]}], ...more,
});

const start = () => {
	const sent: Array<{readonly peer: string; readonly message: PeerMessage}> = [];
	const exchange = new UsageExchange({
		name: 'own',
		incarnation: '1',
		dutyName: 'usage',
		peers: () => ['a', 'b'],
		send(peer, message) {
			sent.push({peer, message});
		},
		counter: {usage: undefined} as unknown as UsageCounter,
		collected: new CollectedUsage(),
		plan: new ReportPlan({windowMilliseconds: 5000, dueMilliseconds: 10_000}),
		lease: {holding: undefined} as unknown as DutyLease,
		reach: new PeerReach(),
		metrics: {count: () => undefined},
		windowMilliseconds: 5000,
		now: () => 0,
	});
	exchange.addPeer('a', '2');
	exchange.addPeer('b', '1');
	return {exchange, sent};
};

// Guards against a report without the counts of a gateway that has started again: it may pass on those of its own former process.
test('a process that forwards the counts of its former one is still waited for', t => {
	const {exchange} = start();
	exchange.receive('b', usage('b 1', {completeThrough: 5}));
	t.notOk(exchange.isComplete(5), 'nothing has come of a');
	exchange.receive('a', usage('a 2'));
	exchange.receive('a', usage('a 1', {isFinal: true}));
	t.notOk(exchange.isComplete(5));
	exchange.receive('a', usage('a 2', {completeThrough: 5}));
	t.ok(exchange.isComplete(5));
	t.end();
});

test('a new holder is sent the counts of processes that are gone, and asked-for ones of others', t => {
	const {exchange, sent} = start();
	exchange.receive('a', usage('a 2'));
	exchange.receive('a', usage('a 1'));
	exchange.receive('b', usage('c 1'));
	exchange.receive('b', {
		kind: 'duty', token: 17, isHeld: true, missing: [],
	});
	t.strictSame(sent.map(({peer, message}) => [peer, message.kind === 'usage' ? message.counter : message.kind]), [['b', 'a 1'], ['b', 'c 1']]);
	sent.length = 0;
	exchange.receive('b', {
		kind: 'duty', token: 17, isHeld: true, missing: ['a 2'],
	});
	t.strictSame(sent.map(({message}) => message.kind === 'usage' && message.counter), ['a 2']);
	t.end();
});

// Guards against an older holder's message that arrives late and hides the present one.
test('a holder with a lower token is not heard', t => {
	const {exchange} = start();
	const duty = (token: number): PeerMessage & {kind: 'duty'} => ({
		kind: 'duty', token, isHeld: true, missing: [],
	});
	exchange.receive('a', duty(17));
	t.equal(exchange.heardAt, 0);
	exchange.removePeer('a');
	t.equal(exchange.heardAt, Number.NEGATIVE_INFINITY);
	exchange.receive('a', duty(18));
	exchange.receive('b', {...duty(17), isHeld: false});
	t.equal(exchange.heardAt, 0, 'the end of an older lease says nothing of the present one');
	t.end();
});
