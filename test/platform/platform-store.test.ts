/**
Tests that a store call without an answer does not abort calls in progress on
other connections.
*/
import {test} from 'tap';
import {startPlatformStore} from '../support/start-platform-store.js';

const pause = async (milliseconds: number): Promise<void> => new Promise(resolve => {
	setTimeout(resolve, milliseconds);
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
