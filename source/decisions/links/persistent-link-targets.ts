/**
Selects the sidecars to which a gateway keeps an open link while no work uses it.

Rendezvous hashing assigns each sidecar the same few gateways at every gateway.
So every sidecar receives new configurations, and no gateway holds many idle
links. A gateway to which no sidecar is assigned still keeps links to the few
sidecars that rank highest for it; without them it would get a new
configuration only at its next read of the store.
*/
import {rendezvousOrder} from '../routing/rendezvous-order.js';
import {rendezvousScore} from '../routing/rendezvous-score.js';

/** Number of gateways that keep a link to each target. */
const gatewaysPerTarget = 3;
/** Minimum number of targets to which each gateway keeps a link. */
const targetsPerGateway = 2;

/**
Returns the targets that are assigned to the gateway `self`, and those that rank highest for it.

@example
```
persistentLinkTargets('gateway-1', ['gateway-1', 'gateway-2'], targets);
```
*/
export const persistentLinkTargets = (self: string, gateways: readonly string[], targets: readonly string[]): ReadonlySet<string> =>
	new Set([...assignedTargets(self, gateways, targets), ...highestRankedTargets(self, targets)]);

const assignedTargets = (self: string, gateways: readonly string[], targets: readonly string[]): readonly string[] => targets.filter(target => {
	const own = rendezvousScore(target, self);
	const higherRanked = gateways.filter(gateway => gateway !== self && rendezvousScore(target, gateway) > own);
	return higherRanked.length < gatewaysPerTarget;
});

const highestRankedTargets = (self: string, targets: readonly string[]): readonly string[] => rendezvousOrder(self, targets).slice(0, targetsPerGateway);
