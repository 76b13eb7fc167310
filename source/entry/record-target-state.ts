/**
Records what a target says of itself in the head of any of its answers: that it is leaving,
that it asks for a pause, its rate limit, and a load that cannot be decoded.
*/
import type {AnswerFacts} from '../fleet/answer-facts.js';
import type {TargetRecord} from '../fleet/target-record.js';
import type {EntryContext} from './entry-context.js';

type Context = Pick<EntryContext, 'targetRegistry' | 'pauses' | 'rateLimits' | 'metrics' | 'log' | 'now'>;

/**
The first three hold for the incarnation that was asked, not for its address: a new incarnation
at the same address neither leaves nor pauses. Peers learn of a leaving target by the next digest.

`sentAt` is when the request was sent; it is left out where the lack of a rate limit proves nothing.

@example
```
recordTargetState(context, target, facts, sentAt);
```
*/
export const recordTargetState = ({targetRegistry, pauses, rateLimits, metrics, log, now}: Context, target: TargetRecord, {isLeaving, pauseMilliseconds, isLoadMalformed, rateLimit}: AnswerFacts, sentAt?: number): void => {
	const {incarnation, id, address} = target;
	rateLimits.record(target, rateLimit, sentAt);
	if (isLoadMalformed) {
		metrics.count('target.load-malformed');
	}

	if (isLeaving && targetRegistry.markLeaving(incarnation, now())) {
		metrics.count('target.leaving.answer');
		log.info({
			event: 'target leaving', target: id, address, source: 'answer',
		}, 'target says that it is leaving');
	}

	if (pauseMilliseconds !== undefined && pauses.record(incarnation, pauseMilliseconds, now())) {
		metrics.count('target.paused');
		log.info({
			event: 'target paused', target: id, address, milliseconds: Math.round(pauseMilliseconds),
		}, 'target asks for a pause');
	}
};
