/**
Names the content of a list of targets, so that two gateways can tell whether
they hold the same one without sending it.
*/
import type {TargetRecord} from '../../fleet/target-record.js';
import {rendezvousScore} from '../routing/rendezvous-score.js';

/**
Returns the same number for lists that say the same of each target, in any order.

@example
```
if (nameList(own.targets) !== message.listName) {
	askForList();
}
```
*/
export const nameList = (targets: readonly TargetRecord[]): number => targets.reduce((sum, target) => {
	const {
		incarnation, service, address, availabilityZone, isDraining, slots, role,
	} = target;
	return (sum + rendezvousScore(incarnation, [service, address, availabilityZone, isDraining, slots, role].join(' '))) % 0x1_00_00_00_00;
}, targets.length);
