/**
Which sidecars a gateway keeps a link to without work.

Each sidecar is given the same few gateways by all gateways alike, so that every
sidecar hears of configurations and no gateway holds many idle links.
*/
import {rendezvousScore} from '../routing/rendezvous-score.js';

const gatewaysPerTarget = 3;

/**
Returns the targets for which `self` is among the first gateways.

@example
```
warmTargets('gateway-1', ['gateway-1', 'gateway-2'], targets);
```
*/
export const warmTargets = (self: string, gateways: readonly string[], targets: readonly string[]): ReadonlySet<string> =>
	new Set(targets.filter(target => {
		const own = rendezvousScore(target, self);
		const before = gateways.filter(gateway => gateway !== self && rendezvousScore(target, gateway) > own);
		return before.length < gatewaysPerTarget;
	}));
