/**
Tests the usage reports of entry gateways that run, with stand-ins of the store and of the duty interface.
*/
import {test, type Test} from 'tap';
import {PlatformDutyStandIn} from '../../stand-ins/platform-duty-stand-in.js';
import {EntryFleet} from '../support/entry-fleet.js';

const windowMilliseconds = 1000;

const until = async (condition: () => boolean): Promise<void> => {
	while (!condition()) {
		await new Promise(resolve => { // eslint-disable-line no-await-in-loop
			setTimeout(resolve, 50);
		});
	}
};

const start = async (t: Test) => {
	const fleet = await EntryFleet.start(t);
	const duties = new PlatformDutyStandIn();
	await duties.start();
	t.teardown(() => {
		duties.stop();
	});
	fleet.configure([{
		name: 'bids', pathPrefix: '/bids/', routeType: 'non_idempotent', service: 'floor',
	}], [{name: 'floor'}]);
	await fleet.addTarget('i-1', 'floor');
	const usageReports = {
		address: duties.address, callsPerSecond: 50, leaseMilliseconds: 1000, windowMilliseconds, dueMilliseconds: 10_000,
	};
	return {fleet, duties, usageReports};
};

test('one of two gateways reports each window once, and the other goes on when it stops', async t => {
	const {fleet, duties, usageReports} = await start(t);
	const first = await fleet.addGateway({usageReports});
	const second = await fleet.addGateway({usageReports, peerSeeds: [`127.0.0.1:${first.settings.listen.peers!.port}`]});
	await until(() => duties.arrivals.length >= 3);
	const [{holder, token}] = duties.arrivals as [typeof duties.arrivals[0]];
	t.equal(new Set(duties.arrivals.map(arrival => arrival.holder)).size, 1);
	const [leaving, remaining] = holder === first.settings.name ? [first, second] : [second, first];
	await leaving.gateway.stop();
	await until(() => duties.arrivals.some(arrival => arrival.holder === remaining.settings.name));
	const later = duties.arrivals.filter(arrival => arrival.holder === remaining.settings.name);
	t.ok(later.every(arrival => arrival.token > token));
	const windows = duties.arrivals.map(({body}) => (body as {readonly windowNumber: number}).windowNumber);
	t.equal(new Set(windows).size, windows.length, 'each window once');
	t.ok(Math.abs((windows.at(-1)! * windowMilliseconds) - Date.now()) < 15_000, 'windows are numbered by true time');
	const text = fleet.lines.join('\n');
	for (const event of ['duty lease acquired', 'duty lease lost', 'usage report decided', 'usage report sent']) {
		t.ok(text.includes(`"event":"${event}"`), event);
	}
});

// Guards against calls of deployments that report no usage: all calls to the store are billed.
test('without the duty nothing is stored, sent or counted', async t => {
	const {fleet, duties} = await start(t);
	const first = await fleet.addGateway();
	await fleet.addGateway({peerSeeds: [`127.0.0.1:${first.settings.listen.peers!.port}`]});
	await fleet.ask(first, {path: '/bids/1', requestId: 'r1'});
	await new Promise(resolve => {
		setTimeout(resolve, 4000);
	});
	t.equal(duties.arrivals.length, 0);
	t.strictSame([...fleet.store.callNames.keys()].filter(name => name.startsWith('kv-lease') || name.startsWith('kv-keep') || name === 'kv-txn'), []);
	t.notMatch(fleet.lines.join('\n'), /duty|usage/);
});
