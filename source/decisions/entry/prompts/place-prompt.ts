/**
Decides where a prompt is prefilled: on a prefill engine, or in place on the decode engine that generates its tokens.

The mix of long prompts and short questions shifts within seconds, faster than
engines can change roles. A fixed rule would leave engines of one role idle while
those of the other have a queue. So each option is charged the time until the first
token and the engine time that it takes from other requests, and the cheapest wins.
Shared parts are prefilled where they are cached, or their KV cache is fetched from
there, whichever is cheaper with the current queues.
*/
import * as option from 'fp-ts/lib/Option.js';
import {rendezvousOrder} from '../../routing/rendezvous-order.js';
import type {EngineRates} from '../../capacity/engine-rates.js';
import {startingRates} from '../../capacity/starting-rates.js';
import {withoutAvoided} from '../targets/without-avoided.js';
import {latencyModel} from './latency-model.js';
import type {EngineView} from './engine-view.js';
import type {PromptPlacement} from './prompt-placement.js';

/** Weight of the engine time taken from other requests against the request's own latency. */
const engineTimeWeight = 1;
/** Number of running requests whose delay by an in-place prefill costs as much as the prefill itself. */
const requestsPerDelayedPrefill = 16;
/** Time that each running request adds to one step of a decode engine of the starting rates. It grows with what a request adds by the learned rates. */
const stepMillisecondsPerRequest = 0.6;
/** A shared part below this size is prefilled again wherever it is cached. */
const minSharedTokens = 1000;
/** Penalty for sending a request to another availability zone, where traffic is expensive: per request, and per kilobyte of its body. */
const crossZonePenalty = {milliseconds: 8, millisecondsPerKilobyte: 0.7} as const;
/** Penalty for an engine all of whose recent outcomes are failures. */
const failurePenaltyMilliseconds = 400;
/** Penalty for all engines but the affinity engine, while the shared part is cached nowhere. */
const affinityPenaltyMilliseconds = 30;

type Prompt = {
	readonly tokens: number;
	/** Key and size of the parts shared with other requests. */
	readonly sharedKey: string;
	readonly sharedTokens: number;
	readonly bodyBytes: number;
};

type PlaceContext = {
	/** Engines that may prefill the prompt. */
	readonly engines: readonly EngineView[];
	/** All engines, from which shared parts may be fetched; defaults to `engines`. */
	readonly allEngines?: readonly EngineView[];
	readonly availabilityZone: string;
	/** Estimated tokens of the shared parts that an engine has cached, by its identifier. */
	readonly cachedTokens: (engine: string) => number;
	readonly bytesPerToken: number;
	readonly linkMegabitsPerSecond: number;
	/** Engines that must not be used for this request. */
	readonly avoid: ReadonlySet<string>;
	/** Rates of the service's engines; the starting ones when left out. */
	readonly rates?: EngineRates;
	/** True for a placement that meets the prompt's objective. While engines differ in speed, the others are chosen only if no engine meets it. */
	readonly isAcceptable?: (placement: PromptPlacement) => boolean;
};

const candidatesOf = ({engines, avoid}: PlaceContext, role: EngineView['role']): readonly EngineView[] =>
	withoutAvoided(engines.filter(engine => engine.role === role && !avoid.has(engine.id)));

/** The engine to fetch shared parts from: the one that has most tokens cached beyond those of the prefilling engine, preferably in the same zone. */
const fetchSourceOf = (engine: EngineView, prompt: Prompt, context: PlaceContext): EngineView | undefined => {
	const minCachedTokens = context.cachedTokens(engine.id) + minSharedTokens;
	if (prompt.sharedTokens < minCachedTokens) {
		return undefined;
	}

	const preference = ({id, availabilityZone}: EngineView): number => context.cachedTokens(id) + (availabilityZone === engine.availabilityZone ? 1 : 0);
	const sources = (context.allEngines ?? context.engines).filter(({id, isAvoided}) => id !== engine.id && !isAvoided && context.cachedTokens(id) >= minCachedTokens);
	return sources.length === 0 ? undefined : sources.reduce((best, source) => preference(source) > preference(best) ? source : best);
};

const placement = (engine: EngineView, prompt: Prompt, affinityEngine: string | undefined, context: PlaceContext): PromptPlacement => {
	const source = fetchSourceOf(engine, prompt, context);
	const ownCachedTokens = context.cachedTokens(engine.id);
	const cachedTokens = source === undefined ? ownCachedTokens : context.cachedTokens(source.id);
	const fetchMilliseconds = source === undefined
		? 0
		: latencyModel.transfer({
			tokens: cachedTokens - ownCachedTokens,
			bytesPerToken: context.bytesPerToken,
			linkMegabitsPerSecond: context.linkMegabitsPerSecond,
			isSameZone: source.availabilityZone === engine.availabilityZone,
		});
	const {rates = startingRates} = context;
	const {speed = 1} = engine;
	const slowdown = engine.role === 'prefill' ? 1 : rates.inPlaceSlowdown;
	const idlePrefillMilliseconds = latencyModel.prefill(Math.max(1, prompt.tokens - cachedTokens), cachedTokens, rates);
	const prefillMilliseconds = (idlePrefillMilliseconds * slowdown / speed) + fetchMilliseconds;
	// The time of a fast engine is worth more to other requests, so what is taken from them is the same on all engines: that of one of speed 1.
	const takenMilliseconds = (idlePrefillMilliseconds * slowdown) + fetchMilliseconds;
	const waitMilliseconds = engine.readMilliseconds * slowdown / speed;
	const handOverMilliseconds = engine.role === 'prefill'
		? latencyModel.transfer({
			tokens: prompt.tokens, bytesPerToken: context.bytesPerToken, linkMegabitsPerSecond: context.linkMegabitsPerSecond, isSameZone: false,
		})
		: engine.attempts * stepMillisecondsPerRequest * (rates.decodeStep.millisecondsPerRequest / startingRates.decodeStep.millisecondsPerRequest) / speed;
	const delayFactor = engine.role === 'prefill' ? 1 : 1 + (engine.attempts / requestsPerDelayedPrefill);
	const zonePenalty = engine.availabilityZone === context.availabilityZone ? 0 : crossZonePenalty.milliseconds + (prompt.bodyBytes / 1000 * crossZonePenalty.millisecondsPerKilobyte);
	const affinityPenalty = affinityEngine !== undefined && engine.id !== affinityEngine && cachedTokens < minSharedTokens ? affinityPenaltyMilliseconds : 0;
	return {
		engine,
		cachedTokens: ownCachedTokens,
		way: engine.role === 'prefill' ? 'prefill first' : 'in place',
		readMilliseconds: idlePrefillMilliseconds,
		fetchFrom: source,
		latency: waitMilliseconds + prefillMilliseconds + handOverMilliseconds,
		cost: waitMilliseconds + prefillMilliseconds + handOverMilliseconds + zonePenalty + affinityPenalty
			+ (takenMilliseconds * engineTimeWeight * delayFactor) + (engine.failureShare * failurePenaltyMilliseconds),
	};
};

/** While engines differ in speed, the placements that meet the objective, if there are any: a long prompt may meet it on a fast engine only. */
const preferred = (placements: readonly PromptPlacement[], {isAcceptable = () => true}: PlaceContext): readonly PromptPlacement[] => {
	const isAlike = placements.every(({engine: {speed = 1}}) => speed === 1);
	const acceptable = isAlike ? [] : placements.filter(placed => isAcceptable(placed));
	return acceptable.length > 0 ? acceptable : placements;
};

/** The engine that every gateway prefers for a part that no engine is known to have cached. */
const affinityEngineOf = (engines: readonly EngineView[], key: string): string | undefined => rendezvousOrder(key, engines.map(({id}) => id))[0];

/**
Returns the cheapest placement of a prompt; none when no engine may take it.

@example
```
placePrompt(prompt, {engines, availabilityZone, cachedTokens: id => id === 'engine-3' ? 13_300 : 0, bytesPerToken, linkMegabitsPerSecond, avoid: new Set()});
```
*/
export const placePrompt = (prompt: Prompt, context: PlaceContext): option.Option<PromptPlacement> => {
	const decodeEngines = candidatesOf(context, 'decode');
	const hasDecodeEngine = (context.allEngines ?? context.engines).some(({role, id, permits}) => role === 'decode' && permits !== 0 && !context.avoid.has(id));
	const prefillEngines = hasDecodeEngine ? candidatesOf(context, 'prefill') : [];
	const affinityEngine = prompt.sharedTokens >= minSharedTokens ? affinityEngineOf(prefillEngines, prompt.sharedKey) : undefined;
	const placements = [...prefillEngines, ...decodeEngines].map(engine => placement(engine, prompt, affinityEngine, context));
	const candidates = preferred(placements, context);
	return candidates.length === 0
		? option.none
		: option.some(candidates.reduce((best, candidate) => candidate.cost < best.cost ? candidate : best));
};
