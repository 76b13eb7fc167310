/**
Names in the order in which a key prefers them.
*/
import {rendezvousScore} from './rendezvous-score.js';

/**
Returns the names, best first; every process that knows the same names gives the same order.

@example
```
const [home] = rendezvousOrder('lot-7', ['engine-1', 'engine-2']);
```
*/
export const rendezvousOrder = (key: string, names: readonly string[]): readonly string[] => names
	.map(name => ({name, score: rendezvousScore(key, name)}))
	.toSorted((first, second) => second.score - first.score)
	.map(({name}) => name);
