/**
The rates that are assumed of a service's engines until others have been learned.
*/
import type {EngineRates} from './engine-rates.js';

/**
Rates of the engines of the first deployments; docs/CAPACITY.md has the slopes.
*/
export const startingRates: EngineRates = {
	tokensPerMillisecond: 61.4,
	millisecondsPerMillionPairs: 0.525,
	inPlaceSlowdown: 2.5,
	decodeStep: {milliseconds: 4.55, millisecondsPerRequest: 0.181},
};
