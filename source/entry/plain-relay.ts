/**
Relays one request to a target of a service without engines, and retries it at other targets.
*/
import * as option from 'fp-ts/lib/Option.js';
import type {CallTarget} from '../decisions/entry/targets/call-target.js';
import {placeCall} from '../decisions/entry/targets/place-call.js';
import {resultCode} from '../generated/result-codes.js';
import type {TargetRecord} from '../fleet/target-record.js';
import type {AnswerAssembly} from './answer-assembly.js';
import {awaitPermits} from './await-permits.js';
import type {AttemptSender} from './attempt-sender.js';
import {CallAnswer} from './call-answer.js';
import type {CallerRequest} from './caller-request.js';
import type {EntryContext} from './entry-context.js';
import {targetListStatus} from './target-list-status.js';
import {RequestLifecycle} from './request-lifecycle.js';
import {StreamAnswer} from './stream-answer.js';
import {targetViews} from './target-views.js';
import {wantPermits} from './want-permits.js';

type Chosen = {readonly target: TargetRecord; readonly view: CallTarget};

/**
One instance a request. Selects a target and sends the request; the answer may be that to a call, or a stream.

@example
```
await new PlainRelay(request, context, sender).run();
```
*/
export class PlainRelay {
	#hasLiveAttempt = false;
	readonly #request: CallerRequest;
	readonly #context: EntryContext;
	readonly #sender: AttemptSender;
	readonly #lifecycle: RequestLifecycle;
	readonly #assembly: AnswerAssembly;

	constructor(request: CallerRequest, context: EntryContext, sender: AttemptSender) {
		this.#request = request;
		this.#context = context;
		this.#sender = sender;
		this.#lifecycle = new RequestLifecycle(request, context, {isRepeatable: () => this.#assembly.isRepeatable, hasLiveAttempt: () => this.#hasLiveAttempt});
		this.#assembly = request.route.kind === 'streaming' ? new StreamAnswer(request, context, this.#lifecycle) : new CallAnswer(request, context, this.#lifecycle);
	}

	/** Relays the request; resolves once the caller has got its final answer. */
	async run(): Promise<void> {
		this.#lifecycle.begin();
		if (this.#admit()) {
			await this.#runAttempts();
		}
	}

	/** Refuses the call when its targets are overloaded and could not answer it in time; true when it may be sent. */
	#admit(): boolean {
		const {fairness, now} = this.#context;
		const decision = fairness.admitCall(this.#request, () => targetViews(this.#context, this.#request.service).views);
		if (decision.kind === 'refuse') {
			const {expectedMilliseconds, delayMilliseconds} = decision;
			this.#lifecycle.log.add('call refused: its targets are overloaded', {
				expectedMilliseconds: Math.round(expectedMilliseconds), remaining: Math.round(this.#lifecycle.remaining), priority: this.#request.route.priority, ...fairness.facts(this.#request), ...targetListStatus(this.#context),
			}, now());
			this.#lifecycle.refuse(resultCode.deadlineUnreachable, delayMilliseconds, true);
		}

		return decision.kind === 'admit';
	}

	async #runAttempts(): Promise<void> {
		const chosen = await this.#selectTarget();
		if (this.#lifecycle.isEnded) {
			return;
		}

		if (option.isNone(chosen)) {
			this.#lifecycle.refuseWithoutTarget();
			return;
		}

		const shouldRetry = await this.#sendTo(chosen.value);
		if (shouldRetry) {
			await this.#runAttempts();
		}
	}

	/** Selects a target; while the rate limits of all are used up, it waits for a moment for the permits that it has asked for. */
	async #selectTarget(): Promise<option.Option<Chosen>> {
		wantPermits(this.#context, this.#request.service);
		const chosen = this.#findTarget();
		if (option.isSome(chosen) || !this.#context.rateLimits.hasLimits) {
			return chosen;
		}

		await awaitPermits(this.#context, this.#lifecycle);
		return this.#findTarget();
	}

	#findTarget(): option.Option<Chosen> {
		const {random, settings} = this.#context;
		const {views, record} = targetViews(this.#context, this.#request.service);
		const chosen = placeCall({
			targets: views, availabilityZone: settings().availabilityZone, bodyBytes: this.#request.body?.byteLength ?? 0, avoid: this.#lifecycle.avoid, random,
		});
		return option.isNone(chosen) ? option.none : option.some({target: record(chosen.value.id), view: chosen.value});
	}

	/** Sends one attempt; true when the call is to be sent again. */
	async #sendTo({target, view: {attempts, speed, capacity, slowdown}}: Chosen): Promise<boolean> {
		const {facts, method, path, body} = this.#request;
		const {loadTracker, now} = this.#context;
		const sentAt = now();
		const load = loadTracker.totalLoad(target.id, sentAt);
		this.#lifecycle.log.add('call placed', {
			target: target.id, attempts, speed, limit: capacity, slowdown, ...targetListStatus(this.#context),
		}, sentAt);
		const {outcome, cancel} = this.#sender.send({
			target,
			facts,
			isSentAhead: this.#request.isSentAhead,
			method,
			path,
			body,
			instructions: {
				targetId: target.id, remainingMilliseconds: this.#lifecycle.remaining, rank: undefined, isPrefillOnly: false, handle: undefined, fetchFrom: undefined, lastEventId: this.#assembly.lastEventId,
			},
			readMilliseconds: 0,
			mayStart: () => {
				this.#hasLiveAttempt = this.#lifecycle.tryStartAttempt();
				if (this.#hasLiveAttempt) {
					this.#assembly.recordSent?.();
				}

				return this.#hasLiveAttempt;
			},
			...this.#assembly.createReceivers(),
		});
		this.#lifecycle.setCancelAttempt(cancel);
		const result = await outcome;
		this.#hasLiveAttempt = false;
		this.#assembly.recordOutcome?.(result);
		if (result.kind === 'answer' || result.kind === 'streamed') {
			this.#context.fairness.recordAnsweredCall(this.#request, now() - sentAt, load, target);
		}

		return !this.#lifecycle.isEnded && this.#assembly.handleOutcome(target, result);
	}
}
