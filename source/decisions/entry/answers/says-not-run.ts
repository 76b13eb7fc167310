/**
Statuses by which a caller knows that its request has not run and never will.

A caller sends a request that may run only once again after them. A target that answers with one of
them and does not say itself that it has not run the request may have run it.
*/

const statuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/**
Returns true for a status that promises a caller that its request has not run.

@example
```
saysNotRun(503); // true
```
*/
export const saysNotRun = (status: number): boolean => statuses.has(status);
