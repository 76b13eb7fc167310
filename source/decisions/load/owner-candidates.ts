/**
Selects the gateways from which an engine's owner is chosen.

In a large fleet, gateways learn of each other's work with a delay of up to a second, but
those of one availability zone tell each other at once. So an engine is owned by a gateway
of its own zone, which tells the gateways that send this engine the most work about its
backlog. Asking the owner also takes a shorter round trip from there.
*/
import type {Gateway} from './gateway.js';
import {isLargeFleet} from './is-large-fleet.js';

/**
Returns the names of the candidates: in a large fleet the gateways of the engine's zone,
if there are any; otherwise all.

@example
```
engineOwner(engine.incarnation, ownerCandidates(gateways, engine.availabilityZone));
```
*/
export const ownerCandidates = (gateways: readonly Gateway[], availabilityZone: string): readonly string[] => {
	const near = isLargeFleet(gateways.length) ? gateways.filter(gateway => gateway.availabilityZone === availabilityZone) : [];
	return (near.length > 0 ? near : gateways).map(({name}) => name);
};
