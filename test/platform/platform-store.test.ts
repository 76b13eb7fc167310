/**
Calls to the platform's store that do not disturb each other.
*/
import {test} from 'tap';
import {PlatformStore} from '../../platform/platform-store.js';
import {PlatformStoreStandIn} from '../../stand-ins/platform-store-stand-in.js';

const pause = async (milliseconds: number): Promise<void> => new Promise(resolve => {
	setTimeout(resolve, milliseconds);
});

test('DRAIN: a call that gets no answer does not end another one, on which the age of the list of targets depends', async t => {
	const standIn = new PlatformStoreStandIn();
	await standIn.start();
	const store = new PlatformStore(standIn.address);
	t.teardown(async () => {
		await store.close();
		standIn.stop();
	});
	standIn.fault = 'silent';
	const lost = store.readConfiguration();
	await pause(500);
	standIn.fault = 'none';
	standIn.delayMilliseconds = 400;
	const list = store.listTargets();
	const [first, second] = await Promise.all([lost, list]);
	t.ok(first.isErr(), 'gives up while the list is under way');
	t.ok(second.isOk());
	standIn.delayMilliseconds = 0;
	const third = await store.readConfiguration();
	t.ok(third.isOk(), 'the next call opens a new connection');
});
