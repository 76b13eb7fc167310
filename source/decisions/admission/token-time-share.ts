/**
Models how the time between two tokens of a stream (inter-token latency) grows with the batch size.
*/

/** Share of the full batch's token time that a lone stream sees. */
const singleStreamShare = 0.35;

/**
Returns the share of an engine's full-batch token time that holds with `running`
streams, from 0.35 for a lone one to 1 for a full batch.

@example
```
tokenTimeShare(16, 32); // 0.675
```
*/
export const tokenTimeShare = (running: number, mostRunning: number): number =>
	singleStreamShare + ((1 - singleStreamShare) * Math.min(1, running / Math.max(1, mostRunning)));
