/**
Stands for a request id where many ids are remembered: callers choose ids of any length.

The seed differs from process to process, so that no caller can choose two ids with one key.
*/
import {randomBytes} from 'node:crypto';
import createHasher from 'xxhash-wasm';

const hasher = await createHasher();
const seed = randomBytes(8).readBigUInt64LE();

/**
Returns 64 bits that are the same for the same id, in this process only.

@example
```
const keys = new Set([requestKey('9c41')]);
keys.has(requestKey('9c41')); // true
```
*/
export const requestKey = (requestId: string): bigint => hasher.h64(requestId, seed);
