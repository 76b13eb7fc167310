/**
Which gateways may lead a service, and in which order they try.
*/
import * as option from 'fp-ts/lib/Option.js';
import {rendezvousScore} from '../routing/rendezvous-score.js';

const candidates = 4;

/**
Returns the gateway's rank for the service from 0, or none when it is no candidate.

A bounded number of candidates keeps store calls from growing with the fleet;
the hash spreads the services over the gateways.

@example
```
candidateRank('advice-llm', 'gateway-1', gateways);
```
*/
export const candidateRank = (service: string, self: string, gateways: readonly string[]): option.Option<number> => {
	const own = rendezvousScore(service, self);
	const rank = gateways.filter(gateway => gateway !== self && rendezvousScore(service, gateway) > own).length;
	return gateways.includes(self) && rank < candidates ? option.some(rank) : option.none;
};
