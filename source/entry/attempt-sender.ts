/**
Sends attempts to targets, each on a free connection of its target.
*/
import * as option from 'fp-ts/lib/Option.js';
import type {RequestFacts} from '../fleet/request-facts.js';
import type {TargetRecord} from '../fleet/target-record.js';
import type {AttemptOutcome} from './attempt-outcome.js';
import type {AttemptPlan} from './attempt-plan.js';
import type {EntryContext} from './entry-context.js';
import {TargetAttempt} from './target-attempt.js';

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

	/** `onCapacity` is called whenever a target may have capacity for more work. */
	constructor(context: EntryContext, onCapacity: () => void) {
		this.#context = context;
		this.#onCapacity = onCapacity;
	}

	/** Sends an attempt, which ends as `not sent` if no connection is free; `cancel` aborts it. */
	send(plan: AttemptPlan): RunningAttempt {
		const {loadTracker, connections, service, gatewayCount, now} = this.#context;
		const {target} = plan;
		const entry = plan.entry ?? loadTracker.add(target.id, plan.readMilliseconds);
		const maxConnections = service(target.service)?.mostConnections ?? 1;
		const connection = connections.acquire({
			address: target.address, requestId: plan.facts.requestId, maxConnections, gateways: gatewayCount(), now: now(),
		});
		if (option.isNone(connection)) {
			loadTracker.remove(entry);
			return {outcome: Promise.resolve({kind: 'not sent', reason: 'no free connection'}), cancel() {/* Nothing is in progress. */}};
		}

		const attempt = new TargetAttempt(plan, entry, this.#context, this.#onCapacity);
		attempt.start(connection.value);
		return {
			outcome: attempt.outcome,
			cancel() {
				attempt.cancel();
			},
		};
	}

	/** Releases the KV cache that a prefill engine holds for a transfer that will not happen. */
	async releaseHandle(target: TargetRecord, handleId: string, facts: RequestFacts): Promise<void> {
		const {method, path} = this.#context.protocol.releaseHandleRequest(handleId);
		const releaseFacts: RequestFacts = {...facts, headers: ['Host', target.address]};
		const instructions = {
			targetId: target.id, remainingMilliseconds: 1000, rank: undefined, isPrefillOnly: false, handle: undefined, fetchFrom: undefined, lastEventId: undefined,
		};
		const {outcome} = this.send({
			target, facts: releaseFacts, method, path, body: undefined, instructions, readMilliseconds: 0,
		});
		const result = await outcome;
		this.#context.log.debug({request: facts.requestId, target: target.id, outcome: result.kind}, 'attempted to release an unused KV handle');
	}
}
