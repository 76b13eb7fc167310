/**
A fleet with one model service and two routes of streams to it.
*/
import type {Test} from 'tap';
import {EntryFleet} from './entry-fleet.js';

const engine = {
	slots: 8, kvCapacityTokens: 100_000, kvBytes: 1000, linkMbps: 100_000, handleTtlS: 5, roleSwitchS: 3,
};

/**
Streams of `/questions/` may be resumed at another engine, those of `/dossiers/` may not.

@example
```
const fleet = await startStreamFleet(t);
await fleet.addTarget('i-1', 'models', {phase: 'decode'});
```
*/
export const startStreamFleet = async (t: Test): Promise<EntryFleet> => {
	const fleet = await EntryFleet.start(t);
	fleet.configure([
		{
			name: 'dossiers', pathPrefix: '/dossiers/', routeType: 'streaming', service: 'models', sessionAffinity: true, itlTargetMs: 300,
		},
		{
			name: 'questions', pathPrefix: '/questions/', routeType: 'streaming', service: 'models', resumable: true, maxAttempts: 2, sessionAffinity: true, itlTargetMs: 300,
		},
	], [{name: 'models', engine}]);
	return fleet;
};
