/**
A large fleet, of which few gateways read the store.
*/
import {test} from 'tap';
import {EntryFleet} from '../support/entry-fleet.js';

const route = {
	name: 'prices', pathPrefix: '/prices/', routeType: 'idempotent', service: 'floor',
};

test('gateways that are told learn configuration and leaving targets, and read themselves when their reader is gone', async t => {
	const fleet = await EntryFleet.start(t);
	fleet.configure([route], [{name: 'floor'}]);
	const target = await fleet.addTarget('i-1', 'floor');
	await fleet.addTarget('i-2', 'floor');
	const first = await fleet.addGateway();
	const peerSeeds = [`${first.settings.listen.peers!.host}:${first.settings.listen.peers!.port}`];
	const others = await Promise.all(Array.from({length: 7}, async () => fleet.addGateway({peerSeeds})));
	const gateways = [first, ...others];
	const reliesOn = (name: string): unknown => fleet.logged('store reader').findLast(({process}) => process === name)?.reader ?? '';
	const told = (): readonly string[] => gateways.map(({settings}) => settings.name).filter(name => reliesOn(name) !== '');
	await fleet.until(() => fleet.logged('peer found').length >= 8 * 7);
	await fleet.until(() => told().length === 5);
	await fleet.until(() => told().every(name => fleet.logged('store fed').findLast(({process}) => process === name)?.isFed === true));

	const adopted = (version: number): ReadonlyArray<Readonly<Record<string, unknown>>> => fleet.logged('configuration adopted').filter(line => line.version === version);
	fleet.configure([route, {...route, name: 'more', pathPrefix: '/more/'}], [{name: 'floor'}], 50);
	await fleet.until(() => adopted(50).length === 8);
	const toldThen = told();
	t.ok(adopted(50).filter(({process}) => toldThen.includes(String(process))).every(({source}) => source === 'peer'), 'those that are told did not read');

	fleet.store.put('servers/i-1', target.entry('floor', {state: 'draining'}));
	await fleet.until(() => gateways.every(({settings}) => fleet.logged('target leaving').some(({process}) => process === settings.name)));

	const readers = gateways.filter(({settings}) => !toldThen.includes(settings.name));
	await Promise.all(readers.map(async ({gateway}) => gateway.stop()));
	fleet.configure([route], [{name: 'floor'}], 60);
	await fleet.until(() => adopted(60).length >= 5);
	t.pass('the others go on by themselves');
});
