/**
Rendezvous hashing: each key ranks all targets the same way at every gateway.
*/
import createHasher from 'xxhash-wasm';

const hasher = await createHasher();

/**
Returns the score of a target for a key; the highest scores are the key's stable candidates.

Adding or losing one target moves only the keys that had it on top.

@example
```
const best = targets.toSorted((a, b) => rendezvousScore(prefix, b) - rendezvousScore(prefix, a))[0];
```
*/
export const rendezvousScore = (key: string, target: string): number => hasher.h32(`${key}\u0000${target}`);
