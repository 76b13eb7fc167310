/**
Decides which target of a plain service takes a call.
*/
import * as option from 'fp-ts/lib/Option.js';
import {withoutAvoided} from './without-avoided.js';

/** Calls that a crossing between availability zones is charged. */
const otherZoneCalls = 3;
const failureCalls = 8;

type CallTarget = {
	readonly id: string;
	readonly availabilityZone: string;
	readonly slots: number;
	/** Calls under way, of all gateways. */
	readonly attempts: number;
	readonly isAvoided: boolean;
	readonly failureShare: number;
};

type CallContext = {readonly targets: readonly CallTarget[]; readonly availabilityZone: string; readonly avoid: ReadonlySet<string>; readonly random: () => number};

/**
Returns the target with the lowest share of its places taken, the own zone first; none when there is none.

The random part keeps gateways that hear of each other late from all choosing the same idle target.

@example
```
placeCall({targets, availabilityZone, avoid: new Set(), random: Math.random});
```
*/
export const placeCall = ({targets, availabilityZone, avoid, random}: CallContext): option.Option<CallTarget> => {
	const untried = targets.filter(target => !avoid.has(target.id));
	const candidates = withoutAvoided(untried.length > 0 ? untried : targets).map(target => ({
		target,
		cost: (target.attempts + random() + (target.availabilityZone === availabilityZone ? 0 : otherZoneCalls) + (target.failureShare * failureCalls)) / target.slots,
	}));
	return candidates.length === 0
		? option.none
		: option.some(candidates.reduce((best, candidate) => candidate.cost < best.cost ? candidate : best).target);
};
