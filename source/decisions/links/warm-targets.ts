/**
Which sidecars a gateway keeps a link to without work.

Each sidecar is given the same few gateways by all gateways alike, so that every
sidecar hears of configurations and no gateway holds many idle links. A gateway
that no sidecar falls to keeps links to its own first few all the same: without
them it would hear of a configuration only when it next reads the store.
*/
import {rendezvousOrder} from '../routing/rendezvous-order.js';
import {rendezvousScore} from '../routing/rendezvous-score.js';

const gatewaysPerTarget = 3;
const targetsPerGateway = 2;

/**
Returns the targets for which `self` is among the first gateways.

@example
```
warmTargets('gateway-1', ['gateway-1', 'gateway-2'], targets);
```
*/
export const warmTargets = (self: string, gateways: readonly string[], targets: readonly string[]): ReadonlySet<string> =>
	new Set([...ownShare(self, gateways, targets), ...firstTargets(self, targets)]);

const ownShare = (self: string, gateways: readonly string[], targets: readonly string[]): readonly string[] => targets.filter(target => {
	const own = rendezvousScore(target, self);
	const before = gateways.filter(gateway => gateway !== self && rendezvousScore(target, gateway) > own);
	return before.length < gatewaysPerTarget;
});

const firstTargets = (self: string, targets: readonly string[]): readonly string[] => rendezvousOrder(self, targets).slice(0, targetsPerGateway);
