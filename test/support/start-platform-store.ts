/**
The platform's store client before a stand-in of the store.
*/
import type {Test} from 'tap';
import {PlatformStore} from '../../platform/platform-store.js';
import {PlatformStoreStandIn} from '../../stand-ins/platform-store-stand-in.js';

/**
Both end with the test.

@example
```
const {standIn, store} = await startPlatformStore(t);
```
*/
export const startPlatformStore = async (t: Test): Promise<{readonly standIn: PlatformStoreStandIn; readonly store: PlatformStore}> => {
	const standIn = new PlatformStoreStandIn();
	await standIn.start();
	const store = new PlatformStore(standIn.address);
	t.teardown(async () => {
		await store.close();
		standIn.stop();
	});
	return {standIn, store};
};
