/**
How the time between two tokens of a stream grows with the batch.
*/

/** Share of the full batch's token time that a lone stream sees. */
const leastShare = 0.35;

/**
Returns the share of an engine's full-batch token time that holds with `running`
streams, from 0.35 for a lone one to 1 for a full batch.

@example
```
batchShare(16, 32); // 0.675
```
*/
export const batchShare = (running: number, mostRunning: number): number =>
	leastShare + ((1 - leastShare) * Math.min(1, running / Math.max(1, mostRunning)));
