/**
Decides which engine changes its role when the ratio of prefill to decode demand shifts.

Routing absorbs short variations. A role changes only when the goodput that is
expected to be gained while the shift lasts exceeds the capacity that is lost
during the change, by a factor that follows from the operators' goodput weight.
The gain must show both in a fast and in a slow moving average of the demand, so
that noise causes no change.
*/
import {pipe} from 'fp-ts/lib/function.js';
import * as option from 'fp-ts/lib/Option.js';
import type {EngineRole} from '../../generated/messages.js';
import type {EngineThroughput} from './engine-throughput.js';
import type {PlannedEngine} from './planned-engine.js';
import type {PlannerState} from './planner-state.js';
import {capacityRatio} from './capacity-ratio.js';

type Demand = {readonly prefill: number; readonly decode: number};
type RoleCounts = Readonly<Record<EngineRole, number>>;
type Policy = {
	/** From 0, which makes role changes rarest, to 1, which makes them most frequent. */
	readonly goodputWeight: number;
	readonly minimumPrefill: number;
	readonly minimumDecode: number;
	readonly changeMilliseconds: number;
	/** Maximum number of engines that change at the same time. */
	readonly mostInChange: number;
};
type Snapshot = {
	/** Tokens per second that clients have offered since the last planning step. */
	readonly demand: Demand;
	readonly engines: readonly PlannedEngine[];
	readonly speed: EngineThroughput;
	readonly policy: Policy;
};
type RoleChange = {readonly engine: string; readonly role: EngineRole};
type Plan = {readonly state: PlannerState; readonly change: option.Option<RoleChange>};
type RoleTransition = {readonly from: EngineRole; readonly to: EngineRole; readonly gain: number};

/** Time constants of the two exponential moving averages of the demand. */
const fastWindowMilliseconds = 8000;
const slowWindowMilliseconds = 15_000;
/** A role change must be worthwhile for this long before it is made. */
const confirmMilliseconds = 3000;
/** Cooldown after a role change, as a multiple of the duration of a change, at goodput weight 0 and 1. */
const cooldownFactor = {atWeightZero: 10, atWeightOne: 1.5} as const;
/** Gain, as a share of the demand, above which the cooldown is shortened. */
const fullCooldownGain = 0.08;
/** The cooldown is never shortened below this share of its full length. */
const minCooldownShare = 0.25;
/** The gain must exceed this multiple of the loss, at goodput weight 0 and 1. */
const paybackFactor = {atWeightZero: 6, atWeightOne: 1.5} as const;
/** A demand shift is expected to last this much longer. */
const expectedShiftMilliseconds = 120_000;
/** Smaller gains, as a share of the demand, are within the error of the estimate. */
const minGain = 0.03;
/** Utilization above which requests queue; the rest of the capacity is headroom. */
const maxUtilization = 0.75;

const roles: readonly EngineRole[] = ['prefill', 'mixed', 'decode'];

const interpolate = ({atWeightZero, atWeightOne}: {readonly atWeightZero: number; readonly atWeightOne: number}, goodputWeight: number): number =>
	atWeightZero + ((atWeightOne - atWeightZero) * goodputWeight);

/** Updates an exponential moving average with the time constant `window`. */
const smooth = (previous: Demand, current: Demand, elapsed: number, window: number): Demand => {
	const weight = 1 - Math.exp(-elapsed / window);
	return {
		prefill: previous.prefill + (weight * (current.prefill - previous.prefill)),
		decode: previous.decode + (weight * (current.decode - previous.decode)),
	};
};

const countRoles = (engines: readonly PlannedEngine[]): RoleCounts => ({
	prefill: engines.filter(({role}) => role === 'prefill').length,
	mixed: engines.filter(({role}) => role === 'mixed').length,
	decode: engines.filter(({role}) => role === 'decode').length,
});

/** Share of the demand that is served without queueing; capped at 1, as capacity beyond the demand brings no gain. */
const goodput = (demand: Demand, counts: RoleCounts, speed: EngineThroughput): number => Math.min(1, maxUtilization * capacityRatio(demand, counts, speed));

const withTransition = (counts: RoleCounts, from: EngineRole, to: EngineRole): RoleCounts => ({...counts, [from]: counts[from] - 1, [to]: counts[to] + 1});

/** Whether the operators' minimums hold; `mixed` engines count as prefill and as decode engines. */
const meetsMinimums = (counts: RoleCounts, {minimumPrefill, minimumDecode}: Policy): boolean =>
	counts.prefill + counts.mixed >= minimumPrefill && counts.decode + counts.mixed >= minimumDecode;

/** The role change with the largest gain. The gain of a change is the smaller of its gains under the fast and the slow average. */
const bestTransition = ({fast, slow}: PlannerState, counts: RoleCounts, {speed, policy}: Snapshot): option.Option<RoleTransition> => {
	const transitions = roles
		.filter(from => counts[from] > 0)
		.flatMap(from => roles.filter(to => to !== from).map(to => ({from, to, after: withTransition(counts, from, to)})))
		.filter(({after}) => meetsMinimums(after, policy))
		.map(({from, to, after}): RoleTransition => ({
			from,
			to,
			gain: Math.min(...[fast, slow].map(demand => goodput(demand, after, speed) - goodput(demand, counts, speed))),
		}));
	return transitions.length === 0
		? option.none
		: option.some(transitions.reduce((best, transition) => transition.gain > best.gain ? transition : best));
};

/** Share of the demand that is served before but not during the change of one engine. */
const lossShare = (demand: Demand, counts: RoleCounts, {from}: RoleTransition, speed: EngineThroughput): number =>
	goodput(demand, counts, speed) - goodput(demand, {...counts, [from]: counts[from] - 1}, speed);

/**
Whether the gain while the shift lasts exceeds the capacity lost during the
change by the required factor. The loss counts as at least a quarter of one
engine's share of the capacity.
*/
const isWorthwhile = (demand: Demand, counts: RoleCounts, transition: RoleTransition, {speed, policy}: Snapshot): boolean => {
	const engines = counts.prefill + counts.mixed + counts.decode;
	const lost = Math.max(lossShare(demand, counts, transition, speed), 1 / (4 * engines)) * policy.changeMilliseconds;
	return transition.gain >= minGain && transition.gain * expectedShiftMilliseconds > lost * interpolate(paybackFactor, policy.goodputWeight);
};

/** The ready engine of a role with the least work to finish or hand over. The last working engine of several in an availability zone is never chosen. */
const leastLoaded = (engines: readonly PlannedEngine[], role: EngineRole): option.Option<PlannedEngine> => {
	const changing = new Set(engines.filter(({isChanging}) => isChanging));
	const candidates = engines.filter(engine => engine.role === role && engine.isReady && !engine.isChanging);
	const allowed = candidates.filter(({availabilityZone}) => {
		const sameZone = engines.filter(other => other.availabilityZone === availabilityZone);
		return sameZone.length === 1 || sameZone.filter(other => !changing.has(other)).length > 1;
	});
	return allowed.length === 0
		? option.none
		: option.some(allowed.reduce((least, engine) => engine.pendingWork < least.pendingWork ? engine : least));
};

/** The planner's state after the first observation. */
const initialState = (demand: Demand, now: number): PlannerState => ({
	fast: demand, slow: demand, observedAt: now, isChangeWorthwhile: false, unchangedSince: now, lastChangeAt: Number.NEGATIVE_INFINITY,
});

const observe = (previous: option.Option<PlannerState>, demand: Demand, now: number): PlannerState => {
	if (option.isNone(previous)) {
		return initialState(demand, now);
	}

	const elapsed = now - previous.value.observedAt;
	return {
		...previous.value,
		fast: smooth(previous.value.fast, demand, elapsed, fastWindowMilliseconds),
		slow: smooth(previous.value.slow, demand, elapsed, slowWindowMilliseconds),
		observedAt: now,
	};
};

/** The best role change, if it is worthwhile under both averages. */
const worthwhileTransition = (state: PlannerState, counts: RoleCounts, snapshot: Snapshot): option.Option<RoleTransition> => pipe(
	bestTransition(state, counts, snapshot),
	option.filter(transition => isWorthwhile(state.fast, counts, transition, snapshot) && isWorthwhile(state.slow, counts, transition, snapshot)),
);

/** Larger gains get a shorter cooldown. */
const cooldownMilliseconds = ({gain}: RoleTransition, {goodputWeight, changeMilliseconds}: Policy): number => {
	const cooldownShare = Math.min(1, Math.max(minCooldownShare, fullCooldownGain / gain));
	return interpolate(cooldownFactor, goodputWeight) * changeMilliseconds * cooldownShare;
};

/**
Returns the planner's next state and at most one role change.

@example
```
const {state, change} = planRoles(previous, snapshot, clock());
```
*/
export const planRoles = (previous: option.Option<PlannerState>, snapshot: Snapshot, now: number): Plan => {
	const {engines, demand, policy} = snapshot;
	const observed = observe(previous, demand, now);
	const counts = countRoles(engines);
	const transition = worthwhileTransition(observed, counts, snapshot);
	const isChangeWorthwhile = option.isSome(transition);
	const state: PlannerState = isChangeWorthwhile === observed.isChangeWorthwhile ? observed : {...observed, isChangeWorthwhile, unchangedSince: now};
	if (option.isNone(transition)) {
		return {state, change: option.none};
	}

	const changingCount = engines.filter(({isChanging}) => isChanging).length;
	const isConfirmed = now - state.unchangedSince >= confirmMilliseconds;
	const isCooldownOver = now - state.lastChangeAt >= cooldownMilliseconds(transition.value, policy);
	if (changingCount >= policy.mostInChange || !isConfirmed || !isCooldownOver) {
		return {state, change: option.none};
	}

	const {from, to} = transition.value;
	const engine = leastLoaded(engines, from);
	return option.isNone(engine)
		? {state, change: option.none}
		: {state: {...state, lastChangeAt: now}, change: option.some({engine: engine.value.name, role: to})};
};
