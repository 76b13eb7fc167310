/**
Models how the time between two tokens of a stream (inter-token latency) grows with the batch size.
*/

/** Share of the full-batch token time that a single stream sees. */
const leastShare = 0.35;

/**
Returns the share of the engine's full-batch token time that applies with `running`
streams: from 0.35 for a single stream to 1 for a full batch.

@example
```
batchShare(16, 32); // 0.675
```
*/
export const batchShare = (running: number, mostRunning: number): number =>
	leastShare + ((1 - leastShare) * Math.min(1, running / Math.max(1, mostRunning)));
