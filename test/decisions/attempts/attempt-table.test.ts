/**
The attempt table: what it remembers of removed attempts, cancellation and leaving.
*/
import {test} from 'tap';
import {AttemptTable} from '../../../source/decisions/attempts/attempt-table.js';
import type {AttemptMessage} from '../../../source/generated/messages.js';
import {resultCode} from '../../../source/generated/result-codes.js';

const capacity = {kind: 'plain', mostRunning: 2, callMilliseconds: 10} as const;
const abandonedAfter = 20_000;

const attempt = (attemptId: string, repeatable = false): AttemptMessage => ({
	kind: 'attempt',
	attemptId,
	requestId: attemptId,
	organisation: 'a',
	importance: 'normal',
	repeatable,
	remainingMilliseconds: 60_000,
	method: 'POST',
	path: '/',
	body: '',
	promptTokens: 0,
	outputTokens: 0,
	streamed: false,
});

const end = (attemptId: string) => ({
	kind: 'target finished', attemptId, code: resultCode.ok, status: 200, finishReason: 'stop', contentType: '',
} as const);

test('an abandoned attempt that ran is reported as possibly run', async t => {
	const table = new AttemptTable(capacity);
	table.handle({kind: 'attempt arrived', link: 'one', message: attempt('a')}, 0);
	table.handle(end('a'), 10);
	table.handle({kind: 'link closed', link: 'one'}, 20);
	table.handle({kind: 'tick'}, abandonedAfter);
	const [effect] = table.handle({
		kind: 'resume', link: 'two', attemptId: 'a', receivedThrough: 0,
	}, abandonedAfter + 1);
	t.match(effect, {kind: 'send', message: {kind: 'attempt unknown', mayHaveRun: true}});
});

test('an attempt that is resumed before it arrives is reported as not run and never runs later', async t => {
	const table = new AttemptTable(capacity);
	const [effect] = table.handle({
		kind: 'resume', link: 'two', attemptId: 'a', receivedThrough: 0,
	}, 0);
	t.match(effect, {kind: 'send', message: {kind: 'attempt unknown', mayHaveRun: false}});
	t.match(table.handle({kind: 'attempt arrived', link: 'one', message: attempt('a')}, 30_000), [{kind: 'count', counter: 'attempt.barred'}]);
});

test('a cancelled non-repeatable call runs to its end', async t => {
	const table = new AttemptTable(capacity);
	table.handle({kind: 'attempt arrived', link: 'one', message: attempt('a')}, 0);
	t.same(table.handle({kind: 'cancel', attemptId: 'a'}, 1), []);
	table.handle({kind: 'attempt arrived', link: 'one', message: attempt('b', true)}, 0);
	t.match(table.handle({kind: 'cancel', attemptId: 'b'}, 1), [{kind: 'stop', attemptId: 'b'}]);
});

test('admission resumes after an emptying but not after leaving', async t => {
	const table = new AttemptTable(capacity);
	table.handle({kind: 'empty'}, 0);
	t.match(table.handle({kind: 'attempt arrived', link: 'one', message: attempt('a')}, 1)[1], {message: {kind: 'refused', code: resultCode.targetLeaving}});
	table.handle({kind: 'return'}, 2);
	t.match(table.handle({kind: 'attempt arrived', link: 'one', message: attempt('b')}, 3), [{kind: 'run'}]);
	table.handle({kind: 'leave'}, 4);
	table.handle({kind: 'return'}, 5);
	t.match(table.handle({kind: 'attempt arrived', link: 'one', message: attempt('c')}, 6)[1], {message: {kind: 'refused', code: resultCode.targetLeaving}});
});

test('an attempt that arrives twice runs once', async t => {
	const table = new AttemptTable(capacity);
	t.match(table.handle({kind: 'attempt arrived', link: 'one', message: attempt('a')}, 0), [{kind: 'run'}]);
	t.match(table.handle({kind: 'attempt arrived', link: 'two', message: attempt('a')}, 1), [{kind: 'count', counter: 'attempt.duplicate'}]);
});
