/**
As it was before speeds were learned; kept to compare decisions with it.

Selects the target of a plain service that takes a call.
*/
import * as option from 'fp-ts/lib/Option.js';
import {withoutAvoided} from '../../../source/decisions/entry/without-avoided.js';

/** Penalty for a target in another availability zone, in calls. */
const crossZonePenaltyCalls = 3;
/** Penalty for a target all of whose recent outcomes are failures, in calls. */
const failurePenaltyCalls = 8;

type CallTarget = {
	readonly id: string;
	readonly availabilityZone: string;
	readonly slots: number;
	/** Calls in progress, of all gateways. */
	readonly attempts: number;
	readonly isAvoided: boolean;
	readonly failureShare: number;
};

type CallContext = {readonly targets: readonly CallTarget[]; readonly availabilityZone: string; readonly avoid: ReadonlySet<string>; readonly random: () => number};

/**
Returns the target with the lowest share of its slots in use, with a preference for
the gateway's own zone; none when there is no target.

Each gateway learns of the others' calls with a delay. The random part keeps them from
all choosing the same idle target.

@example
```
placeCall({targets, availabilityZone, avoid: new Set(), random: Math.random});
```
*/
export const placeCall = ({targets, availabilityZone, avoid, random}: CallContext): option.Option<CallTarget> => {
	const untried = targets.filter(target => !avoid.has(target.id));
	const candidates = withoutAvoided(untried.length > 0 ? untried : targets).map(target => ({
		target,
		cost: (target.attempts + random() + (target.availabilityZone === availabilityZone ? 0 : crossZonePenaltyCalls) + (target.failureShare * failurePenaltyCalls)) / target.slots,
	}));
	return candidates.length === 0
		? option.none
		: option.some(candidates.reduce((best, candidate) => candidate.cost < best.cost ? candidate : best).target);
};
