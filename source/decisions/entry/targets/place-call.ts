/**
Selects the target of a plain service that takes a call.

Load: targets of a service differ in speed by a factor of up to 2.7, and some slow down long
before their slots are full. An equal share of the slots makes the slow ones late while the fast
ones are idle. And tens of gateways learn of each other's calls with a delay of half a second, so
all of them find the same target idle and fill it together.

So while targets are known to differ, or report how slow they are at the moment, a call goes to
the better one of two, by expected time. The two are drawn with the rates of the targets as
weights, so that no target gets much more than its part however many gateways take it for the
best. Otherwise a call goes to the target with the lowest share of its slots in use.
*/
import * as option from 'fp-ts/lib/Option.js';
import type {CallTarget} from './call-target.js';
import {expectedCallMilliseconds} from './expected-call-milliseconds.js';
import {withoutAvoided} from './without-avoided.js';

/** Penalty for a target in another availability zone, in calls. */
const crossZonePenaltyCalls = 3;
/** Penalty for a target all of whose recent outcomes are failures, in calls. */
const failurePenaltyCalls = 8;
type CallContext = {
	readonly targets: readonly CallTarget[];
	readonly availabilityZone: string;
	/** Size of the call's body, which is sent to another availability zone at a cost; 0 when left out. */
	readonly bodyBytes?: number;
	readonly avoid: ReadonlySet<string>;
	readonly random: () => number;
};

/** Calls in progress and penalties, by slots. */
const usedShare = (target: CallTarget, {availabilityZone, random}: CallContext): number =>
	(target.attempts + random() + (target.availabilityZone === availabilityZone ? 0 : crossZonePenaltyCalls) + (target.failureShare * failurePenaltyCalls)) / target.slots;

const isOrdinary = ({speed = 1, slowdown, capacity}: CallTarget): boolean => speed === 1 && slowdown === undefined && capacity === undefined;

type Candidate = {readonly target: CallTarget; readonly cost: number};

const cheapest = (candidates: readonly Candidate[]): option.Option<CallTarget> => candidates.length === 0
	? option.none
	: option.some(candidates.reduce((best, candidate) => candidate.cost < best.cost ? candidate : best).target);

const lowestShare = (targets: readonly CallTarget[], context: CallContext): option.Option<CallTarget> =>
	cheapest(targets.map(target => ({target, cost: usedShare(target, context)})));

/** Calls that a target takes well in a unit of time, for the draw. */
const rateOf = ({speed = 1, capacity, slots}: CallTarget): number => speed * Math.max(1, Math.min(slots, capacity ?? slots));

/** Draws one target by its rate. */
const draw = (targets: readonly CallTarget[], random: () => number): readonly CallTarget[] => {
	let remaining = random() * targets.reduce((sum, target) => sum + rateOf(target), 0);
	const drawn = targets.find(target => {
		remaining -= rateOf(target);
		return remaining < 0;
	});
	return drawn === undefined ? targets.slice(-1) : [drawn];
};

/** The two may be the same, so that a slow target is still tried now and then, and two targets do not always meet. */
const drawTwo = (targets: readonly CallTarget[], random: () => number): readonly CallTarget[] => [...draw(targets, random), ...draw(targets, random)];

/** The least expected time of two targets of the own zone and of two of the others. */
const leastExpected = (targets: readonly CallTarget[], {availabilityZone, bodyBytes = 0, random}: CallContext): option.Option<CallTarget> => {
	const [near, far] = [targets.filter(target => target.availabilityZone === availabilityZone), targets.filter(target => target.availabilityZone !== availabilityZone)];
	return cheapest([...drawTwo(near, random), ...drawTwo(far, random)].map(target => ({target, cost: expectedCallMilliseconds(target, {availabilityZone, bodyBytes})})));
};

/**
Returns the target that takes the call, with a preference for the gateway's own zone; none
when there is no target, or none that its rate limit lets take one now.

Each gateway learns of the others' calls with a delay. The random part keeps them from
all choosing the same idle target.

@example
```
placeCall({targets, availabilityZone, bodyBytes: 900, avoid: new Set(), random: Math.random});
```
*/
export const placeCall = (context: CallContext): option.Option<CallTarget> => {
	const {targets, avoid} = context;
	const permitted = targets.filter(({permits}) => permits !== 0);
	const untried = permitted.filter(target => !avoid.has(target.id));
	const candidates = withoutAvoided(untried.length > 0 ? untried : permitted);
	return targets.every(target => isOrdinary(target)) ? lowestShare(candidates, context) : leastExpected(candidates, context);
};
