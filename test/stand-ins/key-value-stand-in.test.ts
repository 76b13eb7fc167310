/**
The stand-in's faults do what the proofs rely on.
*/
import * as option from 'fp-ts/lib/Option.js';
import {test} from 'tap';
import {EtcdKeyValueService} from '../../source/ports/etcd-key-value-service.js';
import {KeyValueStandIn} from '../../stand-ins/key-value-stand-in.js';

const port = 21_901;

test('an outage does nothing, a lost answer does, and neither is taken for an answer', async t => {
	const standIn = new KeyValueStandIn({port});
	await standIn.start();
	const store = new EtcdKeyValueService(`http://127.0.0.1:${port}`);
	t.teardown(async () => {
		await store.close();
		await standIn.stop();
	});
	standIn.setFaults({outage: true});
	const refused = await store.compareAndSwap({key: 'a', expectedRevision: 0, value: '1'});
	t.ok(refused.isErr());
	standIn.setFaults({loseAnswers: 1});
	const lost = await store.compareAndSwap({key: 'b', expectedRevision: 0, value: '1'});
	t.match(lost._unsafeUnwrapErr(), {kind: 'unknown'});
	const absent = await store.read('a');
	t.ok(option.isNone(absent._unsafeUnwrap()));
	const present = await store.read('b');
	t.ok(option.isSome(present._unsafeUnwrap()));
});

test('comparison, leases and watches follow the published protocol', async t => {
	const standIn = new KeyValueStandIn({port: port + 1});
	await standIn.start();
	const store = new EtcdKeyValueService(`http://127.0.0.1:${port + 1}`);
	t.teardown(async () => {
		await store.close();
		await standIn.stop();
	});
	const seen: string[] = [];
	const first = new Promise<void>(resolve => {
		store.watch('k', ({value}) => {
			seen.push(value);
			resolve();
		}, () => undefined);
	});
	const granted = await store.grantLease(60);
	const lease = granted._unsafeUnwrap();
	const created = await store.compareAndSwap({
		key: 'k', expectedRevision: 0, value: 'one', lease,
	});
	const revision = option.toUndefined(created._unsafeUnwrap());
	t.type(revision, 'number');
	const again = await store.compareAndSwap({key: 'k', expectedRevision: 0, value: 'two'});
	t.ok(option.isNone(again._unsafeUnwrap()));
	// The watch may open after the first write; each write after that is seen.
	for (let tries = 0; seen.length === 0; tries++) {
		const current = await store.read('k'); // eslint-disable-line no-await-in-loop
		const known = option.toUndefined(current._unsafeUnwrap())?.revision ?? 0;
		await store.compareAndSwap({ // eslint-disable-line no-await-in-loop
			key: 'k', expectedRevision: known, value: `write ${tries}`, lease,
		});
	}

	await first;
	const remaining = await store.leaseTimeToLive(lease);
	t.ok(remaining._unsafeUnwrap() > 0);
	await store.revokeLease(lease);
	const gone = await store.read('k');
	t.ok(option.isNone(gone._unsafeUnwrap()));
});
