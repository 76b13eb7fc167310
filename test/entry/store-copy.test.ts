/**
A gateway before a store that comes back from an older copy, over HTTP.
*/
import {test} from 'tap';
import {EntryFleet} from '../support/entry-fleet.js';
import {startPlatformStore} from '../support/start-platform-store.js';

const route = {
	name: 'bids', pathPrefix: '/bids/', routeType: 'non_idempotent', service: 'floor',
};

test('neither a target that was removed nor an older configuration comes back with the copy', async t => {
	const fleet = await EntryFleet.start(t);
	fleet.configure([route], [{name: 'floor'}, {name: 'other'}], 50);
	const removed = await fleet.addTarget('i-1', 'floor');
	await fleet.addTarget('i-2', 'floor');
	const other = await fleet.addTarget('i-3', 'other');
	const gateway = await fleet.addGateway();
	await fleet.until(() => fleet.logged('target appeared').length === 3);
	const copy = fleet.store.copy();
	fleet.store.remove('servers/i-1');
	fleet.configure([{...route, service: 'other'}], [{name: 'floor'}, {name: 'other'}], 60);
	await fleet.until(() => fleet.logged('target gone').length === 1 && fleet.logged('configuration adopted').some(({version}) => version === 60));
	fleet.store.restore(copy);
	await fleet.until(() => fleet.logged('store restored').length === 1 && fleet.logged('stale entries').length === 1);
	const {calls} = fleet.store;
	await fleet.until(() => fleet.store.calls > calls + 2);
	const replies = await Promise.all(Array.from({length: 10}, async (_, index) => fleet.ask(gateway, {path: '/bids/1', requestId: `b${index}`})));
	t.ok(replies.every(({status}) => status === 200));
	t.equal(other.arrivals.length, 10, 'the newer configuration is in force');
	t.equal(removed.arrivals.length, 0);
	t.equal(fleet.logged('configuration adopted').filter(({version}) => version === 50).length, 1);
});

test('the era is read from each answer; a list whose pages are of two eras is no list', async t => {
	const {standIn, store} = await startPlatformStore(t);
	standIn.era = 7;
	for (const id of ['a', 'b', 'c']) {
		standIn.put(`servers/${id}`, '{}');
	}

	const list = await store.listTargets();
	t.match(list._unsafeUnwrap().list, {era: 7, revision: 4});
	const configuration = await store.readConfiguration();
	t.equal(configuration._unsafeUnwrap().era, 7);
	standIn.era = undefined;
	const unnumbered = await store.listTargets();
	t.equal(unnumbered._unsafeUnwrap().list.era, 0);
	standIn.era = 7;
	standIn.pageSize = 1;
	standIn.eraOfNextPages = 8;
	const mixed = await store.listTargets();
	t.equal(mixed.isErr(), true);
});
