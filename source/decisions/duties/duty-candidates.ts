/**
Selects the gateways that contend for the lease of a duty. They are also sent all counts, so that each may go on with the reports.
*/
import {rendezvousOrder} from '../routing/rendezvous-order.js';

/**
Gateways that contend besides the holder, and have all counts. With three, reports go on when two of them and the holder
are lost or cannot reach the store; more would cost more messages.
*/
const candidateCount = 3;

/**
Returns the names of the candidates, without the holder, in the order in which they contend for a vacant lease.

The order is the same at all gateways that reach each other.

@example
```
dutyCandidates('usage', ['gateway-1', 'gateway-2', 'gateway-3'], 'gateway-3');
```
*/
export const dutyCandidates = (duty: string, gateways: readonly string[], holder: string | undefined): readonly string[] => rendezvousOrder(duty, gateways)
	.filter(name => name !== holder)
	.slice(0, candidateCount);
