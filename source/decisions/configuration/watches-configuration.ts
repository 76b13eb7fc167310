/**
Selects the gateways that watch the configuration key in the store.
*/
import {rendezvousScore} from '../routing/rendezvous-score.js';

/** Number of gateways that watch. */
const watcherCount = 5;

/**
True for a fixed number of gateways, so that store calls do not grow with the number of gateways.

@example
```
watchesConfiguration('gateway-1', ['gateway-1', 'gateway-2']); // true
```
*/
export const watchesConfiguration = (self: string, gateways: readonly string[]): boolean => {
	const own = rendezvousScore('configuration', self);
	return gateways.filter(gateway => gateway !== self && rendezvousScore('configuration', gateway) > own).length < watcherCount;
};
