/**
Sorts names by their rendezvous score for a key.
*/
import {rendezvousScore} from './rendezvous-score.js';

/**
Returns the names, highest score first. The order is the same in every process that has the same names.

@example
```
const [home] = rendezvousOrder('lot-7', ['engine-1', 'engine-2']);
```
*/
export const rendezvousOrder = (key: string, names: readonly string[]): readonly string[] => names
	.map(name => ({name, score: rendezvousScore(key, name)}))
	.toSorted((first, second) => second.score - first.score)
	.map(({name}) => name);
