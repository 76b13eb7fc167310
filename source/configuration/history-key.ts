/**
Where earlier configurations are kept.
*/

/** Accepted configurations that are kept; older ones are overwritten. */
const keptGenerations = 20;

/**
Key of a generation's record in a ring, written in one transaction with the generation itself.

@example
```
historyKey(23) === historyKey(3); // true
```
*/
export const historyKey = (generation: number): string => `cowsliprudder/history/${generation % keptGenerations}`;
