/**
Decides which decode engine makes the tokens of a prompt that has been read elsewhere.

Decided anew at the moment of sending: what was true when the prompt was placed
may have changed while it was read.
*/
import * as option from 'fp-ts/lib/Option.js';
import type {EngineView} from './engine-view.js';

/** Reading time that delays a running request as much as one more request beside it. */
const readMillisecondsPerRequest = 7;
/** Attempts that a crossing between availability zones is charged; the whole prompt's memory moves. */
const otherZoneAttempts = 2;
const failureAttempts = 40;

type TokensContext = {
	readonly engines: readonly EngineView[];
	/** Zone of the engine that read the prompt. */
	readonly availabilityZone: string;
	readonly avoid: ReadonlySet<string>;
};

const cost = (engine: EngineView, availabilityZone: string): number => engine.attempts
	+ (engine.readMilliseconds / readMillisecondsPerRequest)
	+ (engine.availabilityZone === availabilityZone ? 0 : otherZoneAttempts)
	+ (engine.failureShare * failureAttempts);

/**
Returns the engine to send to, none when no engine may take it.

@example
```
placeTokens({engines, availabilityZone: reader.availabilityZone, avoid: new Set()});
```
*/
export const placeTokens = ({engines, availabilityZone, avoid}: TokensContext): option.Option<EngineView> => {
	const all = engines.filter(engine => engine.role === 'decode' && !avoid.has(engine.id));
	const healthy = all.filter(engine => !engine.isAvoided);
	const candidates = healthy.length > 0 ? healthy : all;
	return candidates.length === 0
		? option.none
		: option.some(candidates.reduce((best, engine) => cost(engine, availabilityZone) < cost(best, availabilityZone) ? engine : best));
};
