/**
Assigns each engine to one gateway, its owner, by rendezvous hashing.

An engine's prefix cache changes about a hundred times a second. If every gateway
queried every engine, the number of queries and their cost would grow with the
product of both. So only the owner queries an engine, and passes the changes on to
its peers. The peers also ask the owner before they send the engine a long prompt.
*/
import {rendezvousScore} from '../../routing/rendezvous-score.js';

/**
Returns the gateway that owns an engine, given the engine's incarnation. Gateways
with the same list of peers agree on the owner. While their lists differ, an engine
may have two owners, which costs some extra queries and queueing and does no harm.

@example
```
engineOwner('engine-1 17', ['gateway-1', 'gateway-2', 'gateway-3']);
```
*/
export const engineOwner = (engine: string, gateways: readonly string[]): string | undefined => gateways
	.map(gateway => ({gateway, score: rendezvousScore(gateway, engine)}))
	.reduce<{readonly gateway: string; readonly score: number} | undefined>((best, candidate) => best === undefined || candidate.score > best.score ? candidate : best, undefined)
	?.gateway;
