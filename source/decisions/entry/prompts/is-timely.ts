/**
Decides whether the first event of a prompt can still be on time.
*/
import {firstEventMilliseconds} from './first-event-milliseconds.js';

/**
True when the prompt would be on time if it were prefilled at once.

@example
```
isTimely({dueAt: 1000}, 700);
```
*/
export const isTimely = ({dueAt}: {readonly dueAt: number}, now: number): boolean => now + firstEventMilliseconds < dueAt;
