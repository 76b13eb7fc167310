/**
Decides which waiting prompt is sent next, and which is rejected.

For seconds at a time, more long prompts arrive than all engines can prefill. If each
were sent on arrival, it would wait behind all before it: every answer would be late,
and engines would prefill for callers that have given up. So an engine gets a backlog
of a few tenths of a second only, and the other prompts wait here, where their order
can still change. Prompts that can be on time go first, the most urgent one first.
While engines have spare capacity, late prompts follow, first the one whose caller
gives up soonest. A prompt that cannot start before its caller gives up is rejected at
once, with the time after which there will be capacity.

Where teams are configured, the rank of a prompt (source/decisions/fairness/) precedes
these times in both lanes. Late prompts of urgent kinds, and prompts that are served too
seldom, are then placed as if they could be on time. Gateways do not see each other's
queues, so prompts of teams above their share fill engines only up to the limit of the late
lane: what is above it is left to prompts of other teams at any gateway.
*/
import * as option from 'fp-ts/lib/Option.js';
import type {PromptRank} from '../../fairness/prompt-rank.js';
import {rendezvousOrder} from '../../routing/rendezvous-order.js';
import type {EngineRates} from '../../capacity/engine-rates.js';
import {limitedWaitMilliseconds} from '../../limits/limited-wait-milliseconds.js';
import {hasCapacity} from './has-capacity.js';
import {firstEventMilliseconds} from './first-event-milliseconds.js';
import {isTimely} from './is-timely.js';
import {latencyModel} from './latency-model.js';
import type {EngineView} from './engine-view.js';
import {placePrompt} from './place-prompt.js';
import type {PromptPlacement} from './prompt-placement.js';
import type {WaitingPrompt} from './waiting-prompt.js';

/** Prefill time from which a prompt counts as long. */
const longPrefillMilliseconds = 25;
/** A decode engine that runs more requests than this prefills no long prompt in place. */
const maxRunningForLongPrefill = 20;
/** How long before its caller gives up the prefill of a prompt must be due to end: of a short one, and of a long one, whose prefill rarely runs alone. */
const giveUpMargin = {short: 500, long: 900} as const;

/** Share of a prefill engine's prefill rate that a decode engine reaches beside its own work. */
const inPlacePrefillShare = 0.3;
/** Share of the decode engines that prefill in place while there are prefill engines. */
const inPlaceEngineShare = 0.4;
/** Share of the slots that must be in use before the first waiting prompt of a ranked queue is rejected. */
const minUsedSlotShare = 0.5;
/** Share of the prefill rate that is assumed to be left for a prompt, however much work of higher rank arrives. */
const minRateShare = 0.3;
/** Prompts examined for each choice, so that the cost of a choice does not grow with the queue. */
const maxCompared = 12;

type QueueContext = {
	/** All usable engines of the service. */
	readonly engines: readonly EngineView[];
	readonly availabilityZone: string;
	readonly bytesPerToken: number;
	readonly linkMegabitsPerSecond: number;
	/** Decode engines that prefill in place while there are prefill engines, as `selectInPlaceEngines` returns them. */
	readonly inPlaceEngines: ReadonlySet<string>;
	/** Estimated tokens of a prompt's shared parts that an engine has cached. */
	readonly cachedTokens: (prompt: WaitingPrompt, engine: string) => number;
	/** Rates of the service's engines; the starting ones when left out. */
	readonly rates?: EngineRates;
};

type Lane = 'onTime' | 'late';

type Choice = {
	readonly prompt: WaitingPrompt;
	readonly placement: PromptPlacement;
	readonly lane: Lane;
	/** Undefined when no teams are configured. */
	readonly rank: PromptRank | undefined;
};

/** Prefill time of a prompt on an otherwise idle prefill engine of speed 1, wherever it will be prefilled. */
const idlePrefillMilliseconds = (prompt: WaitingPrompt, context: QueueContext): number => {
	const cachedTokens = prompt.sharedTokens === 0 ? 0 : context.engines.reduce((highest, {id}) => Math.max(highest, context.cachedTokens(prompt, id)), 0);
	return latencyModel.prefill(Math.max(1, prompt.tokens - cachedTokens), cachedTokens, context.rates);
};

/**
Engines with capacity for a lane, determined once for all waiting prompts.

In-place prefill makes each token of the other requests on the engine take three times
as long. So while there are prefill engines, only some decode engines prefill. The
others stay fast for long answers, which would otherwise miss their deadline.
*/
type AvailableEngines = {
	/** Prefill engines, and the decode engines that prefill in place. */
	readonly prefilling: readonly EngineView[];
	/** Those of the former that may prefill long prompts. */
	readonly prefillingLong: readonly EngineView[];
	/** All engines with capacity. */
	readonly all: readonly EngineView[];
};

/** Selects the decode engines that prefill in place, the same on every gateway; called once for a list of engines. */
const selectInPlaceEngines = (engines: ReadonlyArray<Pick<EngineView, 'id' | 'role'>>): ReadonlySet<string> => {
	const decodeEngines = engines.filter(({role}) => role === 'decode').map(({id}) => id);
	const count = decodeEngines.length === engines.length ? decodeEngines.length : Math.ceil(decodeEngines.length * inPlaceEngineShare);
	return new Set(rendezvousOrder('reads in place', decodeEngines).slice(0, count));
};

const availableEngines = ({engines, inPlaceEngines}: QueueContext, lane: Lane): AvailableEngines => {
	const all = engines.filter(engine => hasCapacity(engine, lane));
	const prefilling = all.filter(({role, id}) => role === 'prefill' || inPlaceEngines.has(id));
	return {all, prefilling, prefillingLong: prefilling.filter(({role, attempts}) => role === 'prefill' || attempts <= maxRunningForLongPrefill)};
};

/** Places a prompt on one of the engines with capacity; none when it has to wait. */
const place = (prompt: WaitingPrompt, available: AvailableEngines, context: QueueContext, isAcceptable: (placement: PromptPlacement) => boolean): option.Option<PromptPlacement> => {
	const placeContext = {
		...context, allEngines: context.engines, cachedTokens: (engine: string) => context.cachedTokens(prompt, engine), avoid: prompt.avoid, isAcceptable,
	};
	const placeOn = (engines: readonly EngineView[]): option.Option<PromptPlacement> => {
		const placement = engines.length === 0 ? option.none : placePrompt(prompt, {...placeContext, engines});
		return option.isSome(placement) && isAcceptable(placement.value) ? placement : option.none;
	};

	if (prompt.isInPlaceOnly) {
		return placeOn(available.all.filter(({role}) => role === 'decode'));
	}

	const first = placeOn(available.prefilling);
	const isShort = idlePrefillMilliseconds(prompt, context) < longPrefillMilliseconds;
	if (isShort) {
		return option.isSome(first) ? first : placeOn(available.all);
	}

	return option.isSome(first) && first.value.way === 'in place' ? placeOn(available.prefillingLong) : first;
};

const placeFirst = (prompts: readonly WaitingPrompt[], lane: Lane, context: QueueContext, isAcceptable: (prompt: WaitingPrompt, placement: PromptPlacement) => boolean): option.Option<Omit<Choice, 'rank'>> => {
	const available = availableEngines(context, lane);
	if (available.all.length === 0) {
		return option.none;
	}

	for (const prompt of prompts.slice(0, maxCompared)) {
		const placement = place(prompt, available, context, candidate => isAcceptable(prompt, candidate));
		if (option.isSome(placement)) {
			return option.some({prompt, placement: placement.value, lane});
		}
	}

	return option.none;
};

const byUrgency = (first: WaitingPrompt, second: WaitingPrompt): number => first.priority - second.priority || first.dueAt - second.dueAt;

/** The waiting prompts in the order of each lane. It holds for one moment, so that one pass over a queue sorts once. */
type QueueOrder = {
	/** Prompts whose first event can still be on time, the most urgent first. */
	readonly timely: readonly WaitingPrompt[];
	/** All prompts, the one whose caller gives up soonest first; those of higher rank before. */
	readonly byGiveUp: readonly WaitingPrompt[];
	/** Undefined when no teams are configured. */
	readonly ranks: PromptRanks | undefined;
};

type PromptRanks = ReadonlyMap<WaitingPrompt, PromptRank>;

type RankedPrompt = {readonly prompt: WaitingPrompt; readonly rank: PromptRank};

const byGiveUpTime = (first: WaitingPrompt, second: WaitingPrompt): number => first.giveUpAt - second.giveUpAt;

const orderRanked = (ranks: PromptRanks, now: number): QueueOrder => {
	const ranked = [...ranks].map(([prompt, rank]): RankedPrompt => ({prompt, rank}));
	const sort = (prompts: readonly RankedPrompt[], compare: typeof byUrgency): readonly WaitingPrompt[] => prompts
		.toSorted((first, second) => first.rank.order - second.rank.order || compare(first.prompt, second.prompt))
		.map(({prompt}) => prompt);
	return {
		timely: sort(ranked.filter(({prompt, rank}) => rank.mayBeLate || isTimely(prompt, now)), byUrgency),
		byGiveUp: sort(ranked, byGiveUpTime),
		ranks,
	};
};

/** Orders the prompts that wait now, by their ranks first where they have some. */
const order = (waiting: readonly WaitingPrompt[], now: number, ranks?: PromptRanks): QueueOrder => ranks === undefined
	? {timely: waiting.filter(prompt => isTimely(prompt, now)).toSorted(byUrgency), byGiveUp: waiting.toSorted(byGiveUpTime), ranks}
	: orderRanked(ranks, now);

/** Returns the order without a prompt that was placed. */
const without = ({timely, byGiveUp, ranks}: QueueOrder, placed: WaitingPrompt): QueueOrder => ({
	timely: timely.filter(prompt => prompt !== placed),
	byGiveUp: byGiveUp.filter(prompt => prompt !== placed),
	ranks,
});

/** Returns the prompt to send now and its placement; none when all prompts have to wait. */
const next = ({timely, byGiveUp, ranks}: QueueOrder, context: QueueContext, now: number): option.Option<Choice> => {
	const isAcceptable = (prompt: WaitingPrompt, {latency}: PromptPlacement): boolean => now + latency + firstEventMilliseconds <= prompt.dueAt || ranks?.get(prompt)?.mayBeLate === true;
	const claiming = ranks === undefined ? timely : timely.filter(prompt => !ranks.get(prompt)!.yields);
	const onTime = placeFirst(claiming, 'onTime', context, isAcceptable);
	const yielding = option.isSome(onTime) || ranks === undefined ? onTime : placeFirst(timely, 'late', context, isAcceptable);
	const chosen = option.isSome(yielding) ? yielding : placeFirst(byGiveUp, 'late', context, () => true);
	return option.isNone(chosen) ? option.none : option.some({...chosen.value, rank: ranks?.get(chosen.value.prompt)});
};

/** Total prefill rate of all engines, in prefill engines of speed 1. */
const totalPrefillRate = (engines: readonly EngineView[]): number => engines
	.reduce((sum, {role, speed = 1}) => sum + (speed * (role === 'prefill' ? 1 : inPlacePrefillShare)), 0);

/** Share of the decode engines' slots that are in use. */
const usedSlotShare = (engines: readonly EngineView[]): number => {
	const decodeEngines = engines.filter(({role}) => role === 'decode');
	return decodeEngines.reduce((sum, {attempts}) => sum + attempts, 0) / Math.max(1, decodeEngines.reduce((sum, {slots}) => sum + slots, 0));
};

/**
Returns the prompts that cannot start before their callers give up, at the rate at
which engines prefill, and how long each would have to wait. They are determined on
arrival, so that no caller waits only to be rejected later. `workMilliseconds` is the time
that this gateway's share of the engines needs for the prompt.
*/
const unservable = ({byGiveUp, ranks}: QueueOrder, context: QueueContext, gateways: number, now: number): ReadonlyArray<{readonly prompt: WaitingPrompt; readonly waitMilliseconds: number; readonly workMilliseconds: number}> => {
	const prefillRate = Math.max(inPlacePrefillShare, totalPrefillRate(context.engines)) / Math.max(1, gateways);
	const averageBacklog = context.engines.reduce((sum, {readMilliseconds, speed = 1}) => sum + (readMilliseconds / speed), 0) / Math.max(1, context.engines.length);
	const mayRejectFirst = ranks === undefined || usedSlotShare(context.engines) >= minUsedSlotShare;
	const decodeEngines = context.engines.filter(({role}) => role === 'decode');
	let queuedMilliseconds = 0;
	let queued = 0;
	return byGiveUp
		.flatMap(prompt => {
			const rate = Math.max(prefillRate * minRateShare, prefillRate - (ranks?.get(prompt)?.rateBefore ?? 0));
			const waitMilliseconds = Math.max(averageBacklog + (queuedMilliseconds / rate), limitedWaitMilliseconds(decodeEngines, queued));
			const prefillMilliseconds = idlePrefillMilliseconds(prompt, context);
			const margin = prefillMilliseconds + (prefillMilliseconds < longPrefillMilliseconds ? giveUpMargin.short : giveUpMargin.long);
			const isUnservable = now + waitMilliseconds + margin > prompt.giveUpAt && (mayRejectFirst || queuedMilliseconds > 0);
			queuedMilliseconds += isUnservable ? 0 : prefillMilliseconds;
			queued += isUnservable ? 0 : 1;
			return isUnservable ? [{prompt, waitMilliseconds, workMilliseconds: prefillMilliseconds / prefillRate}] : [];
		});
};

/**
Scheduling decisions on the prompts that wait at one gateway for engines of one service.

@example
```
const order = promptQueue.order(waiting, now);
const chosen = promptQueue.next(order, context, now);
```
*/
export const promptQueue = {
	order, without, next, unservable, selectInPlaceEngines,
} as const;
