/**
Which gateways watch the store for configurations.
*/
import {rendezvousScore} from '../routing/rendezvous-score.js';

const watchers = 5;

/**
True for a bounded number of gateways, so that store calls do not grow with the fleet.

@example
```
isWatcher('gateway-1', ['gateway-1', 'gateway-2']); // true
```
*/
export const isWatcher = (self: string, gateways: readonly string[]): boolean => {
	const own = rendezvousScore('configuration', self);
	return gateways.filter(gateway => gateway !== self && rendezvousScore('configuration', gateway) > own).length < watchers;
};
