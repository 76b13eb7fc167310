/**
Decides which gateway speaks for an engine: it asks the engine what it keeps, and
is asked by the others before they send it long prompts.

The load it answers: every engine changes what it keeps a hundred times a second.
If all gateways asked all engines, questions and their price would grow with the
product of both; so one gateway asks each engine and tells the rest.
*/
import {rendezvousScore} from '../routing/rendezvous-score.js';

/**
Returns the gateway for an engine's incarnation. Gateways that know of the same
peers agree; while they do not, an engine may have two, which costs some
questions and some queueing and does no harm.

@example
```
engineKeeper('engine-1 17', ['gateway-1', 'gateway-2', 'gateway-3']);
```
*/
export const engineKeeper = (engine: string, gateways: readonly string[]): string | undefined => gateways
	.map(gateway => ({gateway, score: rendezvousScore(gateway, engine)}))
	.reduce<{readonly gateway: string; readonly score: number} | undefined>((best, candidate) => best === undefined || candidate.score > best.score ? candidate : best, undefined)
	?.gateway;
