/**
Follows the rate limits that targets name.
*/
import type {Logger} from 'roarr';
import {RateLimitKnowledge} from '../decisions/limits/rate-limit-knowledge.js';
import type {NamedRateLimit} from '../fleet/named-rate-limit.js';
import type {TargetRecord} from '../fleet/target-record.js';
import type {EntryMetrics} from './entry-metrics.js';

type Options = {
	readonly log: Logger;
	readonly metrics: Pick<EntryMetrics, 'count' | 'gauge'>;
	readonly now: () => number;
};

/**
One instance a process.

@example
```
rateLimits.record(target, {kind: 'named', requestsPerSecond: 8.6}, sentAt);
```
*/
export class TargetRateLimits {
	readonly #options: Options;
	readonly #knowledge = new RateLimitKnowledge();

	constructor(options: Options) {
		this.#options = options;
	}

	/** Records what an answer says; `sentAt` is when its request was sent, undefined when an answer without a limit proves nothing. */
	record({incarnation, id, address}: TargetRecord, limit: NamedRateLimit, sentAt: number | undefined): void {
		const {log, metrics, now} = this.#options;
		if (limit.kind === 'malformed') {
			metrics.count('target.rate-limit.malformed');
			return;
		}

		const change = this.#knowledge.observe(incarnation, limit, {sentAt, now: now()});
		if (change !== undefined) {
			metrics.count(`target.rate-limit.${change.kind}`);
			log.info({
				event: `rate limit ${change.kind}`, target: id, address, requestsPerSecond: change.requestsPerSecond, former: change.former, source: 'answer',
			}, `rate limit of a target has ${change.kind}`);
		}
	}

	/** Forgets targets that are gone, and updates the gauges. */
	keepOnly(incarnations: ReadonlySet<string>): void {
		this.#knowledge.keepOnly(incarnations);
		this.#options.metrics.gauge('targets.rate-limited', this.#knowledge.limited.length);
	}
}
