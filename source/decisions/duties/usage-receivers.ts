/**
Selects the gateways that are sent the counts: those that hold the lease or may hold it next.
*/
import {rendezvousOrder} from '../routing/rendezvous-order.js';

/** Gateways that have all counts besides the holder. With two, the counts outlive the holder and one more gateway. */
const spareCount = 2;

/**
Returns names of peers: the holder, and the first candidates in the order in which they contend for the lease.

@example
```
usageReceivers('usage', {own: 'gateway-1', peers: ['gateway-2', 'gateway-3'], holder: 'gateway-3'});
```
*/
export const usageReceivers = (duty: string, {own, peers, holder}: {readonly own: string; readonly peers: readonly string[]; readonly holder: string | undefined}): readonly string[] => {
	const first = rendezvousOrder(duty, [own, ...peers]).filter(name => name !== holder).slice(0, spareCount);
	return peers.filter(peer => peer === holder || first.includes(peer));
};
