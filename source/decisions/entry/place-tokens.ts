/**
Decides which decode engine makes the tokens of a prompt that has been read elsewhere.

Decided anew at the moment of sending: what was true when the prompt was placed
may have changed while it was read.
*/
import * as option from 'fp-ts/lib/Option.js';
import type {EngineView} from './engine-view.js';

/** Reading time that delays a running request as much as one more request beside it. */
const readMillisecondsPerRequest = 7;
/** Attempts that a crossing between availability zones is charged: of the prompt's memory, and of each 10 KB of its body. */
const otherZoneAttempts = {memory: 3, body: 1.5} as const;
const failureAttempts = 40;

type TokensContext = {
	readonly engines: readonly EngineView[];
	/** The gateway's zone, from which the body comes. */
	readonly availabilityZone: string;
	/** Zone of the engine that read the prompt, from which its memory comes. */
	readonly readerZone: string;
	readonly bodyBytes: number;
	readonly avoid: ReadonlySet<string>;
};

const cost = (engine: EngineView, {availabilityZone, readerZone, bodyBytes}: TokensContext): number => engine.attempts
	+ (engine.readMilliseconds / readMillisecondsPerRequest)
	+ (engine.availabilityZone === availabilityZone ? 0 : otherZoneAttempts.body * (1 + (bodyBytes / 10_000)))
	+ (engine.availabilityZone === readerZone ? 0 : otherZoneAttempts.memory)
	+ (engine.failureShare * failureAttempts);

/**
Returns the engine to send to, none when no engine may take it.

@example
```
placeTokens({engines, availabilityZone, readerZone: reader.availabilityZone, bodyBytes: 34_000, avoid: new Set()});
```
*/
export const placeTokens = (context: TokensContext): option.Option<EngineView> => {
	const {engines, avoid} = context;
	const all = engines.filter(engine => engine.role === 'decode' && !avoid.has(engine.id));
	const healthy = all.filter(engine => !engine.isAvoided);
	const candidates = healthy.length > 0 ? healthy : all;
	return candidates.length === 0
		? option.none
		: option.some(candidates.reduce((best, engine) => cost(engine, context) < cost(best, context) ? engine : best));
};
