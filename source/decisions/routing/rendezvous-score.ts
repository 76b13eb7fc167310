/**
Rendezvous hashing: every process ranks the same names in the same order for a key.
*/
import createHasher from 'xxhash-wasm';

const hasher = await createHasher();

/**
Returns the score of a name, such as that of a target or gateway, for a key. The highest score ranks first.

Adding or removing a name remaps only the keys for which it ranks first.

@example
```
const best = targets.toSorted((a, b) => rendezvousScore(prefix, b) - rendezvousScore(prefix, a))[0];
```
*/
export const rendezvousScore = (key: string, name: string): number => hasher.h32(`${key}\u0000${name}`);
