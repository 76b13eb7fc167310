/**
A large fleet, in which a few gateways read the store and feed the others.
*/
import {test} from 'tap';
import {EntryFleet} from '../support/entry-fleet.js';

const route = {
	name: 'prices', pathPrefix: '/prices/', routeType: 'idempotent', service: 'floor',
};

test('fed gateways get configurations and leaving targets from their readers, and read the store themselves when the readers are gone', async t => {
	const fleet = await EntryFleet.start(t);
	fleet.configure([route], [{name: 'floor'}]);
	const target = await fleet.addTarget('i-1', 'floor');
	await fleet.addTarget('i-2', 'floor');
	const first = await fleet.addGateway();
	const peerSeeds = [`${first.settings.listen.peers!.host}:${first.settings.listen.peers!.port}`];
	const others = await Promise.all(Array.from({length: 7}, async () => fleet.addGateway({peerSeeds})));
	const gateways = [first, ...others];
	const readerOf = (name: string): unknown => fleet.logged('store reader').findLast(({process}) => process === name)?.reader ?? '';
	const fedGateways = (): readonly string[] => gateways.map(({settings}) => settings.name).filter(name => readerOf(name) !== '');
	await fleet.until(() => fleet.logged('peer found').length >= 8 * 7);
	await fleet.until(() => fedGateways().length === 5);
	await fleet.until(() => fedGateways().every(name => fleet.logged('store fed').findLast(({process}) => process === name)?.isFed === true));

	const adopted = (version: number): ReadonlyArray<Readonly<Record<string, unknown>>> => fleet.logged('configuration adopted').filter(line => line.version === version);
	fleet.configure([route, {...route, name: 'more', pathPrefix: '/more/'}], [{name: 'floor'}], 50);
	await fleet.until(() => adopted(50).length === 8);
	const previouslyFed = fedGateways();
	t.ok(adopted(50).filter(({process}) => previouslyFed.includes(String(process))).every(({source}) => source === 'peer'), 'fed gateways did not read the store');

	fleet.store.put('servers/i-1', target.entry('floor', {state: 'draining'}));
	await fleet.until(() => gateways.every(({settings}) => fleet.logged('target leaving').some(({process}) => process === settings.name)));

	const readers = gateways.filter(({settings}) => !previouslyFed.includes(settings.name));
	await Promise.all(readers.map(async ({gateway}) => gateway.stop()));
	fleet.configure([route], [{name: 'floor'}], 60);
	await fleet.until(() => adopted(60).length >= 5);
	t.pass('the other gateways read the store themselves');
});
