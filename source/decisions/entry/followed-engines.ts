/**
Decides which engines a gateway follows, so that each is followed by one.

The load it answers: every engine changes what it keeps a hundred times a second.
If all gateways asked all engines, questions and their price would grow with the
product of both; so one gateway asks each engine and tells the rest.
*/
import {rendezvousScore} from '../routing/rendezvous-score.js';

/**
Returns the engines that fall to a gateway. Gateways that know of the same peers
agree; while they do not, an engine may be followed twice, which does no harm.

@example
```
followedEngines(['engine-1 17', 'engine-2 4'], 'gateway-1', ['gateway-2', 'gateway-3']);
```
*/
export const followedEngines = (engines: readonly string[], own: string, peers: readonly string[]): readonly string[] => engines
	.filter(engine => {
		const score = rendezvousScore(own, engine);
		return peers.every(peer => rendezvousScore(peer, engine) < score);
	});
