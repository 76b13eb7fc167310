/**
Computes a hash of a list of targets, by which two gateways check whether they
hold the same list without sending it.
*/
import type {TargetRecord} from '../../../fleet/target-record.js';
import {rendezvousScore} from '../../routing/rendezvous-score.js';

/**
Returns the same number for lists with the same targets and fields, in any order.

@example
```
if (hashTargetList(own.targets) !== message.listName) {
	requestTargets();
}
```
*/
export const hashTargetList = (targets: readonly TargetRecord[]): number => targets.reduce((sum, target) => {
	const {
		incarnation, service, address, availabilityZone, isDraining, slots, role,
	} = target;
	return (sum + rendezvousScore(incarnation, [service, address, availabilityZone, isDraining, slots, role].join(' '))) % 0x1_00_00_00_00;
}, targets.length);
