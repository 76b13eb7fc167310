/**
How long the first event of an answer takes after the prefill.
*/

/**
Time from the end of the prefill to the first event at the caller, in milliseconds, spent in engines and on the network.

@example
```
const firstEventAt = prefilledAt + firstEventMilliseconds;
```
*/
export const firstEventMilliseconds = 190;
