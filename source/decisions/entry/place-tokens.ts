/**
Decides which decode engine makes the tokens of a prompt that has been read elsewhere.

Decided anew at the moment of sending: what was true when the prompt was placed
may have changed while it was read.
*/
import * as option from 'fp-ts/lib/Option.js';
import type {EngineView} from './engine-view.js';
import {withoutAvoided} from './without-avoided.js';

/** A step of a decode engine makes one token of each running request: its time alone, and what each request adds. */
const step = {milliseconds: 4.55, millisecondsPerRequest: 0.181} as const;
/** What reading in place adds to a step, and the reading under way from which every step bears it. */
const reading = {milliseconds: 16.7, fullMilliseconds: 30} as const;
/** What a crossing between availability zones is charged, in milliseconds of a step: of the prompt's memory, and of each 10 KB of its body. */
const otherZone = {memory: 0.5, body: 0.3} as const;
const failureMilliseconds = 8;

type TokensContext = {
	readonly engines: readonly EngineView[];
	/** The gateway's zone, from which the body comes. */
	readonly availabilityZone: string;
	/** Zone of the engine that read the prompt, from which its memory comes. */
	readonly readerZone: string;
	readonly bodyBytes: number;
	readonly avoid: ReadonlySet<string>;
};

/** Time of one token there, as far as it is known. */
const tokenMilliseconds = ({attempts, readMilliseconds}: EngineView): number => step.milliseconds
	+ ((attempts + 1) * step.millisecondsPerRequest)
	+ (Math.min(1, readMilliseconds / reading.fullMilliseconds) * reading.milliseconds);

const cost = (engine: EngineView, {availabilityZone, readerZone, bodyBytes}: TokensContext): number => tokenMilliseconds(engine)
	+ (engine.availabilityZone === availabilityZone ? 0 : otherZone.body * (1 + (bodyBytes / 10_000)))
	+ (engine.availabilityZone === readerZone ? 0 : otherZone.memory)
	+ (engine.failureShare * failureMilliseconds);

/**
Returns the engine to send to, none when no engine may take it.

@example
```
placeTokens({engines, availabilityZone, readerZone: reader.availabilityZone, bodyBytes: 34_000, avoid: new Set()});
```
*/
export const placeTokens = (context: TokensContext): option.Option<EngineView> => {
	const {engines, avoid} = context;
	const candidates = withoutAvoided(engines.filter(engine => engine.role === 'decode' && !avoid.has(engine.id)));
	return candidates.length === 0
		? option.none
		: option.some(candidates.reduce((best, engine) => cost(engine, context) < cost(best, context) ? engine : best));
};
