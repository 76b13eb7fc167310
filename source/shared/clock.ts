/**
Monotonic clock of the process.
*/
import {performance} from 'node:perf_hooks';

/**
Returns milliseconds since an arbitrary start. The value never goes back, also when
the wall clock is set.

@example
```
const deadlineAt = clock() + 350;
```
*/
export const clock = (): number => performance.now();
