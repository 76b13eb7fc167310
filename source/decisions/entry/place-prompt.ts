/**
Decides where a prompt is read: at a prefill engine, or in place where its tokens are made.

The load it answers: the mix swings between long prompts and short questions in
blocks of seconds, faster than roles can change, so a fixed rule leaves one kind
of engine idle while the other has a queue. Each way is charged the time until
the first token and the engine time that it takes from others; the cheaper wins.
A prompt whose shared parts an engine keeps reads only the rest, so prompts with
the same shared part go to few engines, in a fixed order of preference.
*/
import * as option from 'fp-ts/lib/Option.js';
import {rendezvousScore} from '../routing/rendezvous-score.js';
import type {EngineView} from './engine-view.js';

/** Prompt tokens that an engine reads in a millisecond while it does nothing else. */
const prefillTokensPerMillisecond = 55;
/** How much longer a decode engine takes, as it reads between the tokens of others. */
const inPlaceFactor = 2;
/** Time for the hand-over of what was read to a decode engine. */
const handOverMilliseconds = 8;
/** Weight of the engine time taken against the request's own latency. */
const engineTimeWeight = 1;
/** What one more running request costs the others on a decode engine, in milliseconds. */
const perRunningMilliseconds = 0.6;
/** Engines that are taken to keep a shared part, in the order of their rank. */
const homes = 2;
/** A shared part below this is read again without regard to its home. */
const leastSharedTokens = 1000;
const otherZoneMilliseconds = 0.5;
const failureMilliseconds = 400;

type Prompt = {
	readonly tokens: number;
	/** Key and size of the parts that other requests share. */
	readonly sharedKey: string;
	readonly sharedTokens: number;
	readonly mostOutputTokens: number;
};

type PlaceContext = {
	readonly engines: readonly EngineView[];
	readonly availabilityZone: string;
	/** True when this engine is believed to keep the shared parts. */
	readonly keeps: (engineId: string, sharedKey: string) => boolean;
	/** Engines not to be used for this request. */
	readonly avoid: ReadonlySet<string>;
};

type Placement = {readonly engine: EngineView; readonly way: 'prefill first' | 'in place'; readonly unreadTokens: number; readonly cost: number};

const candidatesOf = ({engines, avoid}: PlaceContext, role: EngineView['role']): readonly EngineView[] => {
	const all = engines.filter(engine => engine.role === role && !avoid.has(engine.id));
	const healthy = all.filter(engine => !engine.isAvoided);
	return healthy.length > 0 ? healthy : all;
};

/** Ranks of engines for a shared part; the same at every gateway. */
const ranked = (engines: readonly EngineView[], key: string): readonly EngineView[] => engines
	.map(engine => ({engine, score: rendezvousScore(key, engine.id)}))
	.toSorted((first, second) => second.score - first.score)
	.map(({engine}) => engine);

const placement = (engine: EngineView, prompt: Prompt, isHome: boolean, context: PlaceContext): Placement => {
	const isKept = prompt.sharedTokens >= leastSharedTokens && (isHome || context.keeps(engine.id, prompt.sharedKey));
	const unreadTokens = isKept ? Math.max(1, prompt.tokens - prompt.sharedTokens) : prompt.tokens;
	const factor = engine.role === 'prefill' ? 1 : inPlaceFactor;
	const wait = engine.promptTokens / prefillTokensPerMillisecond * factor;
	const read = unreadTokens / prefillTokensPerMillisecond * factor;
	const handOver = engine.role === 'prefill' ? handOverMilliseconds : engine.attempts * perRunningMilliseconds;
	const zone = engine.availabilityZone === context.availabilityZone ? 0 : otherZoneMilliseconds;
	const cost = wait + read + handOver + zone + (read * engineTimeWeight) + (engine.failureShare * failureMilliseconds);
	return {
		engine, way: engine.role === 'prefill' ? 'prefill first' : 'in place', unreadTokens, cost,
	};
};

const cheapest = (placements: readonly Placement[]): option.Option<Placement> => placements.length === 0
	? option.none
	: option.some(placements.reduce((best, candidate) => candidate.cost < best.cost ? candidate : best));

/**
Returns the cheapest way to have a prompt read, none when no engine may take it.

@example
```
placePrompt(prompt, {engines, availabilityZone, keeps, avoid: new Set()});
```
*/
export const placePrompt = (prompt: Prompt, context: PlaceContext): option.Option<Placement> => {
	const decode = candidatesOf(context, 'decode');
	const prefill = decode.length === 0 ? [] : candidatesOf(context, 'prefill');
	const isShared = prompt.sharedTokens >= leastSharedTokens;
	const prefillRanked = isShared ? ranked(prefill, prompt.sharedKey) : prefill;
	return cheapest([
		...prefillRanked.map((engine, rank) => placement(engine, prompt, isShared && rank < homes, context)),
		...decode.map(engine => placement(engine, prompt, false, context)),
	]);
};
