/**
Tests the counts of one gateway and of all: messages that are repeated, lost or forwarded, gateways that end, and calls that are answered late.
*/
import {test} from 'tap';
import {CollectedUsage} from '../../../source/decisions/duties/collected-usage.js';
import {formatUsage} from '../../../source/decisions/duties/format-usage.js';
import {OwnUsage} from '../../../source/decisions/duties/own-usage.js';
import type {PeerMessage} from '../../../source/generated/peer-messages.js';

type Usage = Extract<PeerMessage, {kind: 'usage'}>;

const message = (gateway: string, more: Partial<Usage> = {}): Usage => ({
	kind: 'usage', counter: `${gateway} 1`, firstWindow: 1, completeThrough: 9, isFinal: false, windows: [{window: 10, teams: ['cork', 'oak'], counts: [3, 1]}], ...more,
});

// Guards against counts that are added twice when a message is repeated or forwarded, or that fall when messages overtake each other.
test('a repeated, forwarded or older message changes nothing', t => {
	const usage = new CollectedUsage();
	t.strictSame(usage.record(message('a'), true, 0), [10]);
	t.strictSame(usage.record(message('a'), false, 10), []);
	t.strictSame(usage.record(message('a', {windows: [{window: 10, teams: ['cork'], counts: [2]}]}), true, 20), []);
	usage.record(message('b'), false, 30);
	t.equal(formatUsage(usage.totals(10)), '{"cork":6,"oak":2}');
	t.end();
});

test('a restarted gateway counts in addition to its former process', t => {
	const usage = new CollectedUsage();
	usage.record(message('a'), true, 0);
	usage.record(message('a', {counter: 'a 2', firstWindow: 10}), true, 100);
	t.equal(formatUsage(usage.totals(10)), '{"cork":6,"oak":2}');
	t.strictSame(usage.missing(10, 200), ['a 2'], 'the former process has ended');
	t.end();
});

// Guards against a report that lacks counts which would have come, and against waiting for a gateway that has gone.
test('counts are waited for until they are complete, or their gateway has been silent for long', t => {
	const usage = new CollectedUsage();
	usage.record(message('a'), true, 0);
	usage.record(message('b', {completeThrough: 10}), true, 0);
	usage.record(message('c', {isFinal: true}), true, 0);
	usage.record(message('d', {firstWindow: 11}), true, 0);
	t.strictSame(usage.missing(10, 5000), ['a 1']);
	t.strictSame(usage.missing(10, 10_001), []);
	t.ok(usage.covers(1));
	t.notOk(usage.covers(0), 'nobody counted then');
	t.end();
});

test('what is known of a gateway can be forwarded', t => {
	const usage = new CollectedUsage();
	usage.record(message('a'), true, 0);
	usage.record(message('b'), true, 0);
	t.strictSame(usage.messages(counter => counter === 'a 1'), [message('a')]);
	t.end();
});

test('old windows and processes are dropped', t => {
	const usage = new CollectedUsage();
	usage.record(message('a'), true, 0);
	usage.forget(19, 1000);
	t.equal(usage.totals(10).size, 0);
	usage.forget(19, 61_000);
	t.notOk(usage.has('a 1'));
	t.end();
});

// Guards against a window that is complete before the answers to its calls: plain calls count when they were sent.
test('a window is complete once no call of it is open, and is then sent as a whole', t => {
	const usage = new OwnUsage(10);
	usage.record('cork', 10);
	t.strictSame(usage.takeChanges(), [{window: 10, teams: ['cork'], counts: [1]}]);
	t.equal(usage.takeChanges(), undefined);
	usage.record('oak', 10);
	usage.record('oak', 11);
	usage.advance({endedWindow: 10, oldestOpenWindow: 10});
	t.equal(usage.completeThrough, 9);
	t.strictSame(usage.takeChanges(), [{window: 10, teams: ['oak'], counts: [1]}, {window: 11, teams: ['oak'], counts: [1]}]);
	usage.advance({endedWindow: 10, oldestOpenWindow: undefined});
	t.equal(usage.completeThrough, 10);
	t.strictSame(usage.takeChanges(), [{window: 10, teams: ['cork', 'oak'], counts: [1, 1]}]);
	t.strictSame(usage.all().map(({window}) => window), [10, 11]);
	t.end();
});

test('equal counts have equal texts, and names are escaped', t => {
	t.equal(formatUsage(new Map([['b', 1], ['a', 2], ['none', 0], ['"', 3]])), String.raw`{"\"":3,"a":2,"b":1}`);
	t.end();
});
