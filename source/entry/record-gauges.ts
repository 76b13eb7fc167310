/**
Records present values of an entry gateway in its metrics.
*/
import type {EntryContext} from './entry-context.js';

type Counts = {
	/** Requests that have no final answer. */
	readonly open: number;
	/** Prompts that wait for an engine. */
	readonly waiting: number;
	readonly peers: number;
	/** Bytes that the target which holds most makes the gateway keep. */
	readonly largestHolding: number;
};

/**
Called at each maintenance.

@example
```
recordGauges(context, {open: 12, waiting: 3, peers: 4, largestHolding: 65_536});
```
*/
export const recordGauges = ({metrics, bufferedAnswers, pacer, connections, fairness}: EntryContext, {open, waiting, peers, largestHolding}: Counts): void => {
	metrics.gauge('requests.open', open);
	metrics.gauge('requests.waiting', waiting);
	metrics.gauge('answers.buffered-bytes', bufferedAnswers.total);
	metrics.gauge('answers.paused', pacer.waitingCount);
	metrics.gauge('peers', peers);
	metrics.gauge('connections.opened', connections.opened());
	metrics.gauge('targets.largest-holding-bytes', largestHolding);
	metrics.gauge('fairness.teams', fairness.teamCount);
};
