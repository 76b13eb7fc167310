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

// Guards against keys of teams in the log: the message of a syntax error quotes the text around it.
test('the reason for which an answer cannot be read holds no part of it', async t => {
	const {standIn, store} = await startPlatformStore(t);
	standIn.fault = 'torn';
	const answer = await store.readConfiguration();
	t.strictSame(answer._unsafeUnwrapErr(), {kind: 'unknown', detail: 'answer is not valid JSON'});
});

// Guards against an event loop that is busy decoding thousands of teams at each read.
test('a configuration is decoded again only when it has changed', async t => {
	const {standIn, store} = await startPlatformStore(t);
	const read = async () => {
		const answer = await store.readConfiguration();
		return answer.isOk() && option.isSome(answer.value.configuration) ? answer.value.configuration.value : undefined;
	};

	const put = (version: number): void => {
		standIn.put('op/config', JSON.stringify({version, tenants: [{name: 'lots', apiKeys: ['k-1'], priority: 0}]}));
	};

	put(4);
	const first = await read();
	t.equal(first?.version, 4);
	put(4);
	t.equal(await read(), first, 'the same object, also at another revision of the store');
	put(5);
	const second = await read();
	t.equal(second?.version, 5);
	standIn.put('op/config', 'no JSON');
	t.equal(await read(), undefined);
	put(5);
	t.strictSame(await read(), second);
});
