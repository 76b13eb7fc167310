/**
Store keys of earlier configurations.
*/

/** Number of accepted configurations in the history; older ones are overwritten. */
const retainedGenerations = 20;

/**
Returns the key of a generation's record in a ring buffer. The record is written in the same
transaction as the configuration key.

@example
```
historyKey(23) === historyKey(3); // true
```
*/
export const historyKey = (generation: number): string => `cowsliprudder/history/${generation % retainedGenerations}`;
