/**
Selects the gateways that may become leader of a service and ranks them.
*/
import * as option from 'fp-ts/lib/Option.js';
import {rendezvousScore} from '../routing/rendezvous-score.js';

/** Number of gateways that may become leader of one service. */
const maxCandidates = 4;

/**
Returns the gateway's rank for the service, counted from 0, or none when it is not a candidate.

The number of candidates is fixed, so that store calls do not grow with the
number of gateways. Rendezvous hashing spreads the services over the gateways.

@example
```
candidateRank('advice-llm', 'gateway-1', gateways);
```
*/
export const candidateRank = (service: string, self: string, gateways: readonly string[]): option.Option<number> => {
	const own = rendezvousScore(service, self);
	const rank = gateways.filter(gateway => gateway !== self && rendezvousScore(service, gateway) > own).length;
	return gateways.includes(self) && rank < maxCandidates ? option.some(rank) : option.none;
};
