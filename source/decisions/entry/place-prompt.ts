/**
Decides where a prompt is read: at a prefill engine, or in place where its tokens are made.

The load it answers: the mix swings between long prompts and short questions in
blocks of seconds, faster than roles can change, so a fixed rule leaves one kind
of engine idle while the other has a queue. Each way is charged the time until
the first token and the engine time that it takes from others; the cheaper wins.
Shared parts are read where they are kept, or fetched from there, whichever is
cheaper with the queues as they are.
*/
import * as option from 'fp-ts/lib/Option.js';
import {rendezvousOrder} from '../routing/rendezvous-order.js';
import {engineSpeed} from './engine-speed.js';
import type {EngineView} from './engine-view.js';
import type {PromptPlacement} from './prompt-placement.js';
import {withoutAvoided} from './without-avoided.js';

/** How much longer a decode engine takes, as it reads between the tokens of others. */
const inPlaceFactor = 2.5;
/** Weight of the engine time taken against the request's own latency. */
const engineTimeWeight = 1;
/** Running requests that an in-place read delays as much as itself. */
const delayedRequests = 16;
/** Time of one step of a decode engine for each request that it runs. */
const perRunningMilliseconds = 0.6;
/** A shared part below this is read again without regard to where it is kept. */
const leastSharedTokens = 1000;
/** What bytes between availability zones are charged, as they are dear there: for each request, and for each kilobyte of its body. */
const otherZone = {milliseconds: 8, millisecondsPerKilobyte: 0.7} as const;
const failureMilliseconds = 400;
/** Advantage of the engine that all gateways would choose for a part that none keeps yet. */
const homeMilliseconds = 30;

type Prompt = {
	readonly tokens: number;
	/** Key and size of the parts that other requests share. */
	readonly sharedKey: string;
	readonly sharedTokens: number;
	readonly bodyBytes: number;
};

type PlaceContext = {
	/** Engines that may read it. */
	readonly engines: readonly EngineView[];
	/** All engines, of which shared parts may be fetched; without it, `engines`. */
	readonly known?: readonly EngineView[];
	readonly availabilityZone: string;
	/** Tokens of the shared parts that an engine is believed to keep, by its identifier. */
	readonly kept: (engine: string) => number;
	readonly bytesPerToken: number;
	readonly linkMegabitsPerSecond: number;
	/** Engines not to be used for this request. */
	readonly avoid: ReadonlySet<string>;
};

const candidatesOf = ({engines, avoid}: PlaceContext, role: EngineView['role']): readonly EngineView[] =>
	withoutAvoided(engines.filter(engine => engine.role === role && !avoid.has(engine.id)));

/** The engine to fetch shared parts from: the one that keeps most beyond what the reader keeps, of equal ones a near one. */
const sourceOf = (engine: EngineView, prompt: Prompt, context: PlaceContext): EngineView | undefined => {
	const least = context.kept(engine.id) + leastSharedTokens;
	if (prompt.sharedTokens < least) {
		return undefined;
	}

	const nearness = ({id, availabilityZone}: EngineView): number => context.kept(id) + (availabilityZone === engine.availabilityZone ? 1 : 0);
	const sources = (context.known ?? context.engines).filter(({id, isAvoided}) => id !== engine.id && !isAvoided && context.kept(id) >= least);
	return sources.length === 0 ? undefined : sources.reduce((best, source) => nearness(source) > nearness(best) ? source : best);
};

const placement = (engine: EngineView, prompt: Prompt, home: string | undefined, context: PlaceContext): PromptPlacement => {
	const source = sourceOf(engine, prompt, context);
	const own = context.kept(engine.id);
	const kept = source === undefined ? own : context.kept(source.id);
	const fetch = source === undefined
		? 0
		: engineSpeed.transfer({
			tokens: kept - own, bytesPerToken: context.bytesPerToken, linkMegabitsPerSecond: context.linkMegabitsPerSecond, isSameZone: source.availabilityZone === engine.availabilityZone,
		});
	const factor = engine.role === 'prefill' ? 1 : inPlaceFactor;
	const readMilliseconds = engineSpeed.read(Math.max(1, prompt.tokens - kept), kept);
	const read = (readMilliseconds * factor) + fetch;
	const wait = engine.readMilliseconds * factor;
	const handOver = engine.role === 'prefill'
		? engineSpeed.transfer({
			tokens: prompt.tokens, bytesPerToken: context.bytesPerToken, linkMegabitsPerSecond: context.linkMegabitsPerSecond, isSameZone: false,
		})
		: engine.attempts * perRunningMilliseconds;
	const delayed = engine.role === 'prefill' ? 1 : 1 + (engine.attempts / delayedRequests);
	const zone = engine.availabilityZone === context.availabilityZone ? 0 : otherZone.milliseconds + (prompt.bodyBytes / 1000 * otherZone.millisecondsPerKilobyte);
	const homeless = home !== undefined && engine.id !== home && kept < leastSharedTokens ? homeMilliseconds : 0;
	return {
		engine,
		keptTokens: own,
		way: engine.role === 'prefill' ? 'prefill first' : 'in place',
		readMilliseconds,
		fetchFrom: source,
		latency: wait + read + handOver,
		cost: wait + read + handOver + zone + homeless + (read * engineTimeWeight * delayed) + (engine.failureShare * failureMilliseconds),
	};
};

/** The engine that every gateway prefers for a part that none is known to keep. */
const homeOf = (engines: readonly EngineView[], key: string): string | undefined => rendezvousOrder(key, engines.map(({id}) => id))[0];

/**
Returns the cheapest way to have a prompt read, none when no engine may take it.

@example
```
placePrompt(prompt, {engines, availabilityZone, kept: id => id === 'engine-3' ? 13_300 : 0, bytesPerToken, linkMegabitsPerSecond, avoid: new Set()});
```
*/
export const placePrompt = (prompt: Prompt, context: PlaceContext): option.Option<PromptPlacement> => {
	const decode = candidatesOf(context, 'decode');
	const hasMakers = (context.known ?? context.engines).some(({role, id}) => role === 'decode' && !context.avoid.has(id));
	const prefill = hasMakers ? candidatesOf(context, 'prefill') : [];
	const home = prompt.sharedTokens >= leastSharedTokens ? homeOf(prefill, prompt.sharedKey) : undefined;
	const placements = [...prefill, ...decode].map(engine => placement(engine, prompt, home, context));
	return placements.length === 0
		? option.none
		: option.some(placements.reduce((best, candidate) => candidate.cost < best.cost ? candidate : best));
};
