/**
Decides which engine changes its role as the prompt-to-output mix shifts.

Routing absorbs short swings. A role changes only when the goodput that it is
expected to gain over the life of the shift exceeds the engine-seconds that the
change loses, by a factor that the operators' weighing sets, and only when the
gain shows in a fast and a slow average of the demand alike, so that noise alone
moves nothing.
*/
import {pipe} from 'fp-ts/lib/function.js';
import * as option from 'fp-ts/lib/Option.js';
import type {EngineRole} from '../../generated/messages.js';
import type {EngineSpeed} from './engine-speed.js';
import type {PlannedEngine} from './planned-engine.js';
import type {PlannerState} from './planner-state.js';
import {servedShare} from './served-share.js';

type Demand = {readonly prefill: number; readonly decode: number};
type RoleCounts = Readonly<Record<EngineRole, number>>;
type Policy = {
	/** 0 weighs role changes only, 1 goodput only. */
	readonly goodputWeight: number;
	readonly minimumPrefill: number;
	readonly minimumDecode: number;
	readonly changeMilliseconds: number;
	readonly mostInChange: number;
};
type Snapshot = {
	/** Tokens offered a second since the last look. */
	readonly demand: Demand;
	readonly engines: readonly PlannedEngine[];
	readonly speed: EngineSpeed;
	readonly policy: Policy;
};
type RoleChange = {readonly engine: string; readonly role: EngineRole};
type Plan = {readonly state: PlannerState; readonly change: option.Option<RoleChange>};
type Move = {readonly from: EngineRole; readonly to: EngineRole; readonly gain: number};

const fastMilliseconds = 8000;
const slowMilliseconds = 15_000;
/** A wanted change must stay wanted this long. */
const confirmMilliseconds = 3000;
/** Pause after a change, as a multiple of its own length, at the least and the most weight on goodput. */
const coolDownChanges = {careful: 10, eager: 1.5} as const;
/** Gain in share of the demand up to which the full pause is kept, and the least part of it. */
const ordinaryGain = 0.08;
const leastHurry = 0.25;
/** How many times the loss the gain must be, at the least and the most weight on goodput. */
const paybackFactor = {careful: 6, eager: 1.5} as const;
/** A shift is expected to last this much longer. */
const expectedLifeMilliseconds = 120_000;
/** Gains below this share of the demand are within the error of the estimate. */
const leastGain = 0.03;
/** Headroom that is planned for: demand above this share of capacity queues. */
const usableShare = 0.75;

const roles: readonly EngineRole[] = ['prefill', 'mixed', 'decode'];

const between = ({careful, eager}: {readonly careful: number; readonly eager: number}, goodputWeight: number): number =>
	careful + ((eager - careful) * goodputWeight);

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

/** Share of the demand that is served, with headroom; more capacity than demand gains nothing. */
const goodput = (demand: Demand, counts: RoleCounts, speed: EngineSpeed): number => Math.min(1, usableShare * servedShare(demand, counts, speed));

const moved = (counts: RoleCounts, from: EngineRole, to: EngineRole): RoleCounts => ({...counts, [from]: counts[from] - 1, [to]: counts[to] + 1});

/** Whether the counts keep the floors; `mixed` engines count for both. */
const keepsFloors = (counts: RoleCounts, {minimumPrefill, minimumDecode}: Policy): boolean =>
	counts.prefill + counts.mixed >= minimumPrefill && counts.decode + counts.mixed >= minimumDecode;

/** The move whose gain is best under the less favourable of both averages; each must agree that it gains. */
const bestMove = ({fast, slow}: PlannerState, counts: RoleCounts, {speed, policy}: Snapshot): option.Option<Move> => {
	const moves = roles
		.filter(from => counts[from] > 0)
		.flatMap(from => roles.filter(to => to !== from).map(to => ({from, to, after: moved(counts, from, to)})))
		.filter(({after}) => keepsFloors(after, policy))
		.map(({from, to, after}): Move => ({
			from,
			to,
			gain: Math.min(...[fast, slow].map(demand => goodput(demand, after, speed) - goodput(demand, counts, speed))),
		}));
	return moves.length === 0
		? option.none
		: option.some(moves.reduce((best, move) => move.gain > best.gain ? move : best));
};

/** Share of the demand lost while one engine changes. */
const lossShare = (demand: Demand, counts: RoleCounts, {from}: Move, speed: EngineSpeed): number =>
	goodput(demand, counts, speed) - goodput(demand, {...counts, [from]: counts[from] - 1}, speed);

/** True when the gain over the shift's life pays for the engine-seconds lost. */
const pays = (demand: Demand, counts: RoleCounts, move: Move, {speed, policy}: Snapshot): boolean => {
	const engines = counts.prefill + counts.mixed + counts.decode;
	const lost = Math.max(lossShare(demand, counts, move, speed), 1 / (4 * engines)) * policy.changeMilliseconds;
	return move.gain >= leastGain && move.gain * expectedLifeMilliseconds > lost * between(paybackFactor, policy.goodputWeight);
};

/** The engine of a role that has the least work to move, not the last of its availability zone in the service. */
const leastLoaded = (engines: readonly PlannedEngine[], role: EngineRole): option.Option<PlannedEngine> => {
	const inChange = new Set(engines.filter(({isChanging}) => isChanging));
	const candidates = engines.filter(engine => engine.role === role && engine.isReady && !engine.isChanging);
	const allowed = candidates.filter(({availabilityZone}) => {
		const sameZone = engines.filter(other => other.availabilityZone === availabilityZone);
		return sameZone.length === 1 || sameZone.filter(other => !inChange.has(other)).length > 1;
	});
	return allowed.length === 0
		? option.none
		: option.some(allowed.reduce((least, engine) => engine.liveTokens < least.liveTokens ? engine : least));
};

/**
The planner's memory before the first look.
*/
const initialState = (demand: Demand, now: number): PlannerState => ({
	fast: demand, slow: demand, observedAt: now, isWanted: false, wantedSince: now, changedAt: Number.NEGATIVE_INFINITY,
});

const observe = (previous: option.Option<PlannerState>, demand: Demand, now: number): PlannerState => {
	if (option.isNone(previous)) {
		return initialState(demand, now);
	}

	const elapsed = now - previous.value.observedAt;
	return {
		...previous.value,
		fast: smooth(previous.value.fast, demand, elapsed, fastMilliseconds),
		slow: smooth(previous.value.slow, demand, elapsed, slowMilliseconds),
		observedAt: now,
	};
};

/** The best move, if it pays under both averages. */
const payingMove = (state: PlannerState, counts: RoleCounts, snapshot: Snapshot): option.Option<Move> => pipe(
	bestMove(state, counts, snapshot),
	option.filter(move => pays(state.fast, counts, move, snapshot) && pays(state.slow, counts, move, snapshot)),
);

/** Large gains need not wait as long. */
const coolDownMilliseconds = ({gain}: Move, {goodputWeight, changeMilliseconds}: Policy): number => {
	const hurry = Math.min(1, Math.max(leastHurry, ordinaryGain / gain));
	return between(coolDownChanges, goodputWeight) * changeMilliseconds * hurry;
};

/**
Returns the planner's next memory and at most one role change.

@example
```
const {state, change} = planRoles(previous, snapshot, clock());
```
*/
export const planRoles = (previous: option.Option<PlannerState>, snapshot: Snapshot, now: number): Plan => {
	const {engines, demand, policy} = snapshot;
	const observed = observe(previous, demand, now);
	const counts = countRoles(engines);
	const move = payingMove(observed, counts, snapshot);
	const isWanted = option.isSome(move);
	const state: PlannerState = isWanted === observed.isWanted ? observed : {...observed, isWanted, wantedSince: now};
	if (option.isNone(move)) {
		return {state, change: option.none};
	}

	const inChange = engines.filter(({isChanging}) => isChanging).length;
	const isConfirmed = now - state.wantedSince >= confirmMilliseconds;
	const hasCooled = now - state.changedAt >= coolDownMilliseconds(move.value, policy);
	if (inChange >= policy.mostInChange || !isConfirmed || !hasCooled) {
		return {state, change: option.none};
	}

	const {from, to} = move.value;
	const engine = leastLoaded(engines, from);
	return option.isNone(engine)
		? {state, change: option.none}
		: {state: {...state, changedAt: now}, change: option.some({engine: engine.value.name, role: to})};
};
