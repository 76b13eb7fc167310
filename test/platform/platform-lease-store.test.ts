/**
Tests the calls for leases and conditional writes against a stand-in of the platform's store.
*/
import * as option from 'fp-ts/lib/Option.js';
import type {Result} from 'neverthrow';
import {test, type Test} from 'tap';
import {PlatformLeaseStore} from '../../platform/platform-lease-store.js';
import {PlatformStoreStandIn} from '../../stand-ins/platform-store-stand-in.js';

const key = 'cowsliprudder/duties/usage';

const start = async (t: Test) => {
	const standIn = new PlatformStoreStandIn();
	await standIn.start();
	const store = new PlatformLeaseStore(() => standIn.address);
	t.teardown(async () => {
		await store.close();
		standIn.stop();
	});
	return {standIn, store};
};

const valueOf = async <Value, Failure>(call: Promise<Result<Value, Failure>>): Promise<Value> => {
	const result = await call;
	return result._unsafeUnwrap();
};

const errorOf = async <Value, Failure>(call: Promise<Result<Value, Failure>>): Promise<Failure> => {
	const result = await call;
	return result._unsafeUnwrapErr();
};

const isOk = async <Value, Failure>(call: Promise<Result<Value, Failure>>): Promise<boolean> => {
	const result = await call;
	return result.isOk();
};

const pause = async (milliseconds: number): Promise<void> => new Promise(resolve => {
	setTimeout(resolve, milliseconds);
});

test('a lease is granted, held, renewed and ended, with the keys that were written under it', async t => {
	const {standIn, store} = await start(t);
	const {lease, durationMilliseconds, era} = await valueOf(store.grantLease(3000));
	t.match({durationMilliseconds, era}, {durationMilliseconds: 3000, era: 1});
	const written = await valueOf(store.transact({precondition: [{key, revision: 0}], write: [{key, value: 'gateway-é', lease}], remove: []}));
	t.match(written, {kind: 'written', era: 1});
	const {item} = await valueOf(store.readItem(key));
	t.match(option.toUndefined(item), {key, value: 'gateway-é', revision: written.kind === 'written' ? written.revision : 0});
	t.match(await valueOf(store.renewLease(lease)), {isHeld: true, era: 1});
	standIn.era = 2;
	t.match(await valueOf(store.renewLease(lease)), {isHeld: true, era: 2}, 'the era is that of the answer');
	t.ok(await isOk(store.endLease(lease)));
	t.match(await valueOf(store.renewLease(lease)), {isHeld: false});
	const after = await valueOf(store.readItem(key));
	t.ok(option.isNone(after.item));
});

test('a write under a precondition that does not hold is a conflict, with what is there', async t => {
	const {standIn, store} = await start(t);
	standIn.put(key, 'gateway-2');
	const result = await valueOf(store.transact({precondition: [{key, revision: 0}], write: [{key, value: 'gateway-1'}], remove: []}));
	t.match(result, {kind: 'conflict', items: [{key, value: 'gateway-2'}], era: 1});
	t.equal(standIn.read(key), 'gateway-2');
});

test('a write under a lease that has expired does nothing', async t => {
	const {store} = await start(t);
	const {lease} = await valueOf(store.grantLease(1000));
	await pause(1100);
	t.match(await valueOf(store.transact({precondition: [], write: [{key, value: 'gateway-1', lease}], remove: []})), {kind: 'no lease'});
	t.match(await valueOf(store.renewLease(lease)), {isHeld: false});
});

// Guards against a lost answer that is taken for one that did not happen, and against calls that never end.
test('a call without an answer may have been carried out', async t => {
	const {standIn, store} = await start(t);
	standIn.fault = 'reset';
	t.match(await errorOf(store.grantLease(3000)), {kind: 'unknown'});
	standIn.fault = 'silent';
	t.match(await errorOf(store.renewLease(1)), {kind: 'unknown'});
	standIn.fault = 'busy';
	t.match(await errorOf(store.transact({precondition: [], write: [], remove: []})), {kind: 'did not happen'});
	standIn.fault = 'none';
	t.ok(await isOk(store.grantLease(3000)));
});
