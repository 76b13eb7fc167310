/**
Relays one call to a target of a plain service, and retries it at other targets.
*/
import * as option from 'fp-ts/lib/Option.js';
import type {CallTarget} from '../decisions/entry/call-target.js';
import {placeCall} from '../decisions/entry/place-call.js';
import {resultCode} from '../generated/result-codes.js';
import type {TargetRecord} from '../fleet/target-record.js';
import type {AttemptSender} from './attempt-sender.js';
import type {CallerRequest} from './caller-request.js';
import type {EntryContext} from './entry-context.js';
import {targetListStatus} from './target-list-status.js';
import {RequestLifecycle} from './request-lifecycle.js';
import {targetViews} from './target-views.js';

type Chosen = {readonly target: TargetRecord; readonly view: CallTarget};

/**
One instance a call. Selects a target, sends the call, and passes its answer on to the caller.

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

	constructor(request: CallerRequest, context: EntryContext, sender: AttemptSender) {
		this.#request = request;
		this.#context = context;
		this.#sender = sender;
		this.#lifecycle = new RequestLifecycle(request, context, {isRepeatable: () => this.#isRepeatable, hasLiveAttempt: () => this.#hasLiveAttempt});
	}

	get #isRepeatable(): boolean {
		return this.#request.route.kind === 'idempotent';
	}

	/** Relays the call; resolves once the caller has got its final answer. */
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
		const chosen = this.#selectTarget();
		if (option.isNone(chosen)) {
			this.#lifecycle.refuseWithoutTarget();
			return;
		}

		const shouldRetry = await this.#sendTo(chosen.value);
		if (shouldRetry) {
			await this.#runAttempts();
		}
	}

	#selectTarget(): option.Option<Chosen> {
		const {random, settings} = this.#context;
		const {views, record} = targetViews(this.#context, this.#request.service);
		const chosen = placeCall({
			targets: views, availabilityZone: settings().availabilityZone, bodyBytes: this.#request.body?.byteLength ?? 0, avoid: this.#lifecycle.avoid, random,
		});
		return option.isNone(chosen) ? option.none : option.some({target: record(chosen.value.id), view: chosen.value});
	}

	/** Sends one attempt; true when the call is to be sent again. */
	async #sendTo({target, view: {attempts, speed, capacity, slowdown}}: Chosen): Promise<boolean> {
		const {facts, answer, method, path, body} = this.#request;
		const {loadTracker, now} = this.#context;
		const sentAt = now();
		const load = loadTracker.totalLoad(target.id, sentAt);
		this.#lifecycle.log.add('call placed', {
			target: target.id, attempts, speed, limit: capacity, slowdown, ...targetListStatus(this.#context),
		}, sentAt);
		const {outcome, cancel} = this.#sender.send({
			target,
			facts,
			method,
			path,
			body,
			instructions: {
				targetId: target.id, remainingMilliseconds: this.#lifecycle.remaining, rank: undefined, isPrefillOnly: false, handle: undefined, fetchFrom: undefined, lastEventId: undefined,
			},
			readMilliseconds: 0,
			mayStart: () => {
				this.#hasLiveAttempt = this.#lifecycle.tryStartAttempt();
				if (this.#hasLiveAttempt) {
					this.#lifecycle.usage.recordSent(this.#context.now());
				}

				return this.#hasLiveAttempt;
			},
			spill: () => ({
				head(head) {
					answer.start(head);
				},
				data(chunk, flow) {
					answer.write(chunk, flow);
				},
			}),
		});
		this.#lifecycle.setCancelAttempt(cancel);
		const result = await outcome;
		this.#hasLiveAttempt = false;
		this.#lifecycle.usage.recordOutcome(result);
		if (result.kind === 'answer' || result.kind === 'streamed') {
			this.#context.fairness.recordAnsweredCall(this.#request, now() - sentAt, load, target);
		}

		if (this.#lifecycle.isEnded) {
			return false;
		}

		switch (result.kind) {
			case 'answer': {
				answer.send(result.facts, result.body);
				this.#lifecycle.end({outcome: 'answered'});
				return false;
			}

			case 'streamed': {
				this.#lifecycle.recordRun();
				if (result.isWhole) {
					answer.end();
					this.#lifecycle.end({outcome: 'answered'});
				} else {
					this.#lifecycle.fail(resultCode.answerIncomplete, result.reason);
				}

				return false;
			}

			case 'not sent':
			case 'not run':
			case 'unknown':
			case 'failure': {
				return this.#lifecycle.handleUnansweredAttempt(target, result);
			}
		}
	}
}
