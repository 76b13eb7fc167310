/**
Sends attempts to targets, each on a free connection of its target.
*/
import * as option from 'fp-ts/lib/Option.js';
import {TargetHoldings} from '../decisions/callers/target-holdings.js';
import {RateLimit} from '../decisions/entry/requests/rate-limit.js';
import type {RequestFacts} from '../fleet/request-facts.js';
import type {TargetRecord} from '../fleet/target-record.js';
import type {AttemptOutcome} from './attempt-outcome.js';
import type {AttemptPlan} from './attempt-plan.js';
import type {EntryContext} from './entry-context.js';
import type {LoadEntry} from './load-entry.js';
import {unsentReasons} from './unsent-reasons.js';
import {TargetAttempt} from './target-attempt.js';

/** Smaller bodies are not counted for their target; its connections bound their number. */
const countedBytes = 4096;
/** Lines of attempts that are not sent for what their target holds that are written each second. */
const maxLinesPerSecond = 2;

type RunningAttempt = {readonly outcome: Promise<AttemptOutcome>; readonly cancel: () => void};

/**
One instance a process.

@example
```
const {outcome, cancel} = sender.send({target, facts, method, path, body, instructions, readMilliseconds: 0});
```
*/
export class AttemptSender {
	readonly #context: EntryContext;
	readonly #onCapacity: () => void;
	/** Bytes of requests that targets have not answered. */
	readonly #holdings: TargetHoldings;
	readonly #lines = new RateLimit(maxLinesPerSecond);

	/** `onCapacity` is called whenever a target may have capacity for more work. `targetBytes` is what one target may hold of requests. */
	constructor(context: EntryContext, onCapacity: () => void, targetBytes = Number.POSITIVE_INFINITY) {
		this.#context = context;
		this.#onCapacity = onCapacity;
		this.#holdings = new TargetHoldings(targetBytes);
	}

	/** Most bytes of requests that one target holds. */
	get largestHolding(): number {
		return this.#holdings.largest;
	}

	/** Sends an attempt, which ends as `not sent` if its target's rate limit does not allow it now, no connection is free or its target holds too much; `cancel` aborts it. */
	send(plan: AttemptPlan): RunningAttempt {
		const {loadTracker, rateLimits} = this.#context;
		const {target, hasPermit = false} = plan;
		const entry = plan.entry ?? loadTracker.add(target.id, plan.readMilliseconds);
		return hasPermit || rateLimits.tryTake(target.incarnation) ? this.#start(plan, entry) : this.#unsent(entry, unsentReasons.rateLimit);
	}

	/** Releases the KV cache that a prefill engine holds for a transfer that will not happen. */
	async releaseHandle(target: TargetRecord, handleId: string, facts: RequestFacts): Promise<void> {
		const {method, path} = this.#context.protocol.releaseHandleRequest(handleId);
		const releaseFacts: RequestFacts = {...facts, headers: ['Host', target.address]};
		const instructions = {
			targetId: target.id, remainingMilliseconds: 1000, rank: undefined, isPrefillOnly: false, handle: undefined, fetchFrom: undefined, lastEventId: undefined,
		};
		// No request of a caller, so the rate limit does not count it.
		const {outcome} = this.send({
			target, facts: releaseFacts, method, path, body: undefined, instructions, readMilliseconds: 0, hasPermit: true,
		});
		const result = await outcome;
		this.#context.log.debug({request: facts.requestId, target: target.id, outcome: result.kind}, 'attempted to release an unused KV handle');
	}

	#start(plan: AttemptPlan, entry: LoadEntry): RunningAttempt {
		const {connections, service, gatewayCount, now} = this.#context;
		const {target} = plan;
		const bytes = plan.body !== undefined && plan.body.byteLength >= countedBytes ? plan.body.byteLength : 0;
		if (!this.#holdings.tryReplace(target.id, 0, bytes)) {
			this.#logFull(plan);
			return this.#unsent(entry, unsentReasons.targetFull);
		}

		const maxConnections = service(target.service)?.mostConnections ?? 1;
		const connection = connections.acquire({
			address: target.address, requestId: plan.facts.requestId, maxConnections, gateways: gatewayCount(), isSentAhead: plan.isSentAhead ?? false, now: now(),
		});
		if (option.isNone(connection)) {
			this.#holdings.tryReplace(target.id, bytes, 0);
			return this.#unsent(entry, unsentReasons.noConnection);
		}

		const attempt = new TargetAttempt(plan, entry, this.#context, this.#onCapacity);
		attempt.start(connection.value);
		return {
			outcome: bytes === 0 ? attempt.outcome : this.#releaseAfter(attempt, target.id, bytes),
			cancel() {
				attempt.cancel();
			},
		};
	}

	async #releaseAfter(attempt: TargetAttempt, target: string, bytes: number): Promise<AttemptOutcome> {
		const outcome = await attempt.outcome;
		this.#holdings.tryReplace(target, bytes, 0);
		return outcome;
	}

	#unsent(entry: LoadEntry, reason: string): RunningAttempt {
		this.#context.loadTracker.remove(entry);
		return {outcome: Promise.resolve({kind: 'not sent', reason}), cancel() {/* Nothing is in progress. */}};
	}

	#logFull({target, facts, body}: AttemptPlan): void {
		const {metrics, log, now} = this.#context;
		metrics.count('attempt.target-holds-too-much');
		if (this.#lines.tryTake(now())) {
			log.warn({
				event: 'target holds too much', request: facts.requestId, target: target.id, bytes: body?.byteLength ?? 0,
			}, 'attempt not sent because its target holds too many bytes of requests');
		}
	}
}
