/**
Tests that a store call without an answer does not abort calls in progress on
other connections.
*/
import * as option from 'fp-ts/lib/Option.js';
import {test} from 'tap';
import {startPlatformStore} from '../support/start-platform-store.js';

const pause = async (milliseconds: number): Promise<void> => new Promise(resolve => {
	setTimeout(resolve, milliseconds);
});

test('a crash report that was written is read back', async t => {
	const {store} = await startPlatformStore(t);
	const before = await store.readCrashReport();
	t.ok(option.isNone(before._unsafeUnwrap()));
	const written = await store.writeCrashReport('{"part":"é"}');
	t.ok(written.isOk());
	const after = await store.readCrashReport();
	t.strictSame(after._unsafeUnwrap(), option.some('{"part":"é"}'));
});

// Guards against keeping all that a store sends whose answer has no end.
test('LOST: an answer of the store without end is given up', async t => {
	const {standIn, store} = await startPlatformStore(t);
	standIn.fault = 'endless';
	const answer = await store.readConfiguration();
	t.match(answer._unsafeUnwrapErr(), {kind: 'unknown', detail: /^more than \d+ bytes$/});
	standIn.fault = 'none';
	const next = await store.readConfiguration();
	t.ok(next.isOk());
});

test('DRAIN: a call that gets no answer does not abort a concurrent read of the target list, which would let the list grow stale', async t => {
	const {standIn, store} = await startPlatformStore(t);
	standIn.fault = 'silent';
	const unansweredCall = store.readConfiguration();
	await pause(500);
	standIn.fault = 'none';
	standIn.delayMilliseconds = 400;
	const pendingList = store.listTargets();
	const [first, second] = await Promise.all([unansweredCall, pendingList]);
	t.ok(first.isErr(), 'the unanswered call times out while the list is being read');
	t.ok(second.isOk());
	standIn.delayMilliseconds = 0;
	const third = await store.readConfiguration();
	t.ok(third.isOk(), 'the next call opens a new connection');
});
