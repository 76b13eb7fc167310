/**
The monotonic clock of a process.
*/
import {performance} from 'node:perf_hooks';

/**
Milliseconds since an arbitrary start; never steps back when the wall clock is set.

@example
```
const deadlineAt = clock() + 350;
```
*/
export const clock = (): number => performance.now();
