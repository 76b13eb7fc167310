/**
Unique identifiers for processes, requests and attempts.
*/
import {randomUUID} from 'node:crypto';

/**
Returns an identifier that no other process or start of a process makes.

@example
```
const attemptId = newIdentifier();
```
*/
export const newIdentifier = (): string => randomUUID();
