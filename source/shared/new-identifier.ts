/**
Unique identifiers for processes, requests and attempts.
*/
import {randomUUID} from 'node:crypto';

/**
Returns a random UUID, unique across processes and restarts.

@example
```
const attemptId = newIdentifier();
```
*/
export const newIdentifier = (): string => randomUUID();
