/**
Selects the decode engine that generates the tokens of a prompt prefilled elsewhere.

The engine is selected when the prefill has ended, because load may have changed
since the prompt was placed.
*/
import * as option from 'fp-ts/lib/Option.js';
import type {EngineRates} from '../../capacity/engine-rates.js';
import {startingRates} from '../../capacity/starting-rates.js';
import {withoutAvoided} from '../targets/without-avoided.js';
import type {EngineView} from './engine-view.js';

/** What in-place prefill adds to a decode step, and the prefill backlog from which it is added to every step. */
const inPlacePrefill = {milliseconds: 16.7, fullBacklogMilliseconds: 30} as const;
/** Penalty for another availability zone, in milliseconds of a step: for transferring the KV cache, and for each 10 KB of the body. */
const crossZonePenalty = {kvCache: 0.5, body: 0.3} as const;
/** Penalty for an engine all of whose recent outcomes are failures. */
const failurePenaltyMilliseconds = 8;

type DecodeContext = {
	readonly engines: readonly EngineView[];
	/** The gateway's zone, from which the body is sent. */
	readonly availabilityZone: string;
	/** Zone of the engine that prefilled the prompt, from which the KV cache is transferred. */
	readonly prefillZone: string;
	readonly bodyBytes: number;
	readonly avoid: ReadonlySet<string>;
	/** Rates of the service's engines; the starting ones when left out. */
	readonly rates?: EngineRates;
};

/** Estimated time of one token on the engine with this request added. */
const tokenMilliseconds = ({attempts, readMilliseconds, speed = 1}: EngineView, {decodeStep}: EngineRates): number => (decodeStep.milliseconds
	+ ((attempts + 1) * decodeStep.millisecondsPerRequest)
	+ (Math.min(1, readMilliseconds / inPlacePrefill.fullBacklogMilliseconds) * inPlacePrefill.milliseconds)) / speed;

const cost = (engine: EngineView, {availabilityZone, prefillZone, bodyBytes, rates = startingRates}: DecodeContext): number => tokenMilliseconds(engine, rates)
	+ (engine.availabilityZone === availabilityZone ? 0 : crossZonePenalty.body * (1 + (bodyBytes / 10_000)))
	+ (engine.availabilityZone === prefillZone ? 0 : crossZonePenalty.kvCache)
	+ (engine.failureShare * failurePenaltyMilliseconds);

/**
Returns the engine to send the request to; none when no engine may take it.

@example
```
placeDecode({engines, availabilityZone, prefillZone: prefillEngine.availabilityZone, bodyBytes: 34_000, avoid: new Set()});
```
*/
export const placeDecode = (context: DecodeContext): option.Option<EngineView> => {
	const {engines, avoid} = context;
	const candidates = withoutAvoided(engines.filter(engine => engine.role === 'decode' && engine.permits !== 0 && !avoid.has(engine.id)));
	return candidates.length === 0
		? option.none
		: option.some(candidates.reduce((best, engine) => cost(engine, context) < cost(best, context) ? engine : best));
};
