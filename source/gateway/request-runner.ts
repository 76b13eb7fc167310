/**
Performs the effects that the state machine of a request (`decideRequest`) returns, and feeds it events.
*/
import {pipe} from 'fp-ts/lib/function.js';
import * as option from 'fp-ts/lib/Option.js';
import {createContinuationBody} from '../decisions/request/create-continuation-body.js';
import {decideRequest} from '../decisions/request/decide-request.js';
import type {RequestEffect} from '../decisions/request/request-effect.js';
import type {RequestEvent} from '../decisions/request/request-event.js';
import type {RequestState} from '../decisions/request/request-state.js';
import type {RetryBudget} from '../decisions/request/retry-budget.js';
import {startRequest} from '../decisions/request/start-request.js';
import {chooseTarget} from '../decisions/routing/choose-target.js';
import type {TargetDirectory} from '../decisions/routing/target-directory.js';
import type {AttemptMessage, Message} from '../generated/messages.js';
import {resultCode} from '../generated/result-codes.js';
import {clock} from '../shared/clock.js';
import {describeCode} from '../shared/describe-code.js';
import {catchInvariantError} from '../shared/catch-invariant-error.js';
import {logger} from '../shared/logger.js';
import type {Metrics} from '../shared/metrics.js';
import {newIdentifier} from '../shared/new-identifier.js';
import type {CallerSink} from './caller-sink.js';
import type {GatewayRequest} from './gateway-request.js';
import type {TargetLinks} from './target-links.js';

const noTargetRetryAfterMilliseconds = 1000;
const log = logger.child({module: 'request'});

type RunnerContext = {
	readonly gateway: string;
	readonly availabilityZone: string;
	readonly links: TargetLinks;
	readonly directory: TargetDirectory;
	readonly retryBudget: RetryBudget;
	readonly metrics: Metrics;
	readonly onDone: () => void;
};

/**
Runs one request until it has its final answer.

@example
```
new RequestRunner(request, sink, context).start();
```
*/
export class RequestRunner {
	#state: RequestState;
	#currentAttempt: {readonly attemptId: string; readonly target: string} | undefined;
	#timer: NodeJS.Timeout | undefined;
	readonly #request: GatewayRequest;
	readonly #sink: CallerSink;
	readonly #context: RunnerContext;

	constructor(request: GatewayRequest, sink: CallerSink, context: RunnerContext) {
		this.#request = request;
		this.#sink = sink;
		this.#context = context;
		this.#state = startRequest({
			requestId: request.requestId,
			organisation: request.organisation,
			importance: request.importance,
			repeatable: request.repeatable,
			streamed: request.kind === 'model',
			deadlineAt: clock() + request.deadlineMilliseconds,
		});
	}

	start(): void {
		this.#context.retryBudget.recordRequest();
		this.#timer = setTimeout(() => {
			this.#dispatch({kind: 'deadline'});
		}, this.#request.deadlineMilliseconds);
		this.#chooseTarget([]);
	}

	/** To be called when the caller disconnects. */
	onDisconnect(): void {
		this.#dispatch({kind: 'caller gone'});
	}

	#dispatch(event: RequestEvent): void {
		const invariantError = catchInvariantError(this.#context.metrics, {requestId: this.#request.requestId}, () => {
			const {state, effects} = decideRequest(this.#state, event);
			this.#state = state;
			for (const effect of effects) {
				this.#perform(effect);
			}
		});
		// The timer is cleared when the request has its final answer; it must not be answered again.
		if (invariantError !== undefined && this.#timer !== undefined) {
			this.#state = {...this.#state, phase: 'done'};
			this.#sink.fail(invariantError.code);
		}

		if (this.#state.phase === 'done') {
			this.#finish();
		}
	}

	#perform(effect: RequestEffect): void {
		const {metrics} = this.#context;
		switch (effect.kind) {
			case 'choose target': {
				this.#endAttempt();
				this.#context.retryBudget.recordRetry();
				metrics.count('retry');
				this.#chooseTarget(effect.avoid);
				break;
			}

			case 'send attempt': {
				this.#sendAttempt(effect);
				break;
			}

			case 'resume attempt': {
				metrics.count('attempt.resumed');
				this.#send({kind: 'resume', attemptId: effect.attemptId, receivedThrough: effect.receivedThrough});
				break;
			}

			case 'acknowledge': {
				this.#send({kind: 'acknowledge', attemptId: effect.attemptId, receivedThrough: effect.receivedThrough});
				break;
			}

			case 'cancel attempt': {
				this.#send({kind: 'cancel', attemptId: effect.attemptId});
				break;
			}

			case 'write': {
				this.#sink.write(effect.text);
				break;
			}

			case 'complete': {
				metrics.count('request.completed');
				this.#context.directory.recordSuccess(this.#currentAttempt?.target ?? '');
				this.#sink.complete(effect.status, effect.finishReason, effect.contentType);
				break;
			}

			case 'refuse': {
				this.#logEnd(effect.code);
				this.#sink.refuse(effect.code, effect.retryAfterMilliseconds);
				break;
			}

			case 'fail': {
				this.#logEnd(effect.code);
				this.#sink.fail(effect.code);
				break;
			}

			case 'drop': {
				metrics.count(`answer.dropped.${effect.reason.replaceAll(' ', '-')}`);
				break;
			}
		}
	}

	#chooseTarget(avoid: readonly string[]): void {
		const {directory, gateway, availabilityZone} = this.#context;
		const {service, kind, prefix, promptTokens, outputTokens} = this.#request;
		pipe(
			chooseTarget(directory.ofService(service), {
				kind, prefix, promptTokens, outputTokens, avoid,
			}, {
				gateway, availabilityZone, now: clock(), random: Math.random,
			}),
			option.match(
				() => {
					this.#dispatch({kind: 'no target', code: resultCode.noTarget, retryAfterMilliseconds: noTargetRetryAfterMilliseconds});
				},
				({name}) => {
					this.#dispatch({kind: 'target chosen', attemptId: newIdentifier(), target: name});
				},
			),
		);
	}

	#sendAttempt({attemptId, target, emitted, emittedParts}: Extract<RequestEffect, {readonly kind: 'send attempt'}>): void {
		const link = this.#context.links.get(target);
		this.#currentAttempt = {attemptId, target};
		this.#context.directory.recordSent(target, this.#request.promptTokens);
		if (link === undefined) {
			this.#dispatch({kind: 'unsent', attemptId, mayRetry: this.#mayRetry('unsent')});
			return;
		}

		link.startAttempt(this.#attemptMessage(attemptId, emitted, emittedParts), {
			onSent: () => {
				this.#dispatch({kind: 'sent', attemptId});
			},
			onUnsent: () => {
				this.#dispatch({kind: 'unsent', attemptId, mayRetry: this.#mayRetry('unsent')});
			},
			onLinkReplaced: () => {
				this.#dispatch({kind: 'link replaced', attemptId});
			},
			onAttemptUnknown: certainlyNotRun => {
				this.#dispatch({
					kind: 'attempt unknown', attemptId, certainlyNotRun, mayRetry: this.#mayRetry('attempt-unknown'),
				});
			},
			onTargetLost: () => {
				this.#dispatch({kind: 'target lost', attemptId, mayRetry: this.#mayRetry('target-lost')});
			},
			onMessage: message => {
				this.#receive(message, target);
			},
		});
	}

	#attemptMessage(attemptId: string, emitted: string, emittedParts: number): AttemptMessage {
		const {requestId, organisation, importance, repeatable, method, path, promptTokens, outputTokens, kind, body} = this.#request;
		return {
			kind: 'attempt',
			attemptId,
			requestId,
			organisation,
			importance,
			repeatable,
			method,
			path,
			promptTokens,
			outputTokens: Math.max(1, outputTokens - emittedParts),
			streamed: kind === 'model',
			remainingMilliseconds: Math.max(0, this.#state.deadlineAt - clock()),
			body: kind === 'model' ? createContinuationBody(body, emitted, emittedParts) : body,
		};
	}

	#receive(message: Message, target: string): void {
		if (message.kind === 'output') {
			this.#dispatch(message);
			return;
		}

		if (message.kind === 'refused') {
			this.#context.metrics.count(`refused-by-target.${message.code}`);
			if (message.code === resultCode.targetRefusedConnection) {
				// A target that refuses connections answers fast and looks idle, so it would attract requests if it were not ejected.
				this.#context.directory.recordFailure(target, clock());
			}

			this.#dispatch({...message, mayRetry: this.#mayRetry(`refused-${message.code}`)});
			return;
		}

		if (message.kind === 'finished') {
			const isComplete = message.code === resultCode.ok;
			if (!isComplete) {
				this.#context.directory.recordFailure(target, clock());
			}

			this.#dispatch({...message, contentType: message.contentType ?? '', mayRetry: !isComplete && this.#mayRetry(`finished-${message.code}`)});
		}
	}

	/** Asks the retry budget whether a retry is allowed and counts the answer. */
	#mayRetry(reason: string): boolean {
		const allowed = this.#context.retryBudget.allowsRetry;
		this.#context.metrics.count(`retry.${allowed ? 'allowed' : 'denied'}.${reason}`);
		return allowed;
	}

	#send(message: Message): void {
		this.#context.links.get(this.#currentAttempt?.target ?? '')?.send(message);
	}

	#endAttempt(): void {
		if (this.#currentAttempt === undefined) {
			return;
		}

		this.#context.links.get(this.#currentAttempt.target)?.removeAttempt(this.#currentAttempt.attemptId);
		this.#context.directory.recordEnded(this.#currentAttempt.target);
		this.#currentAttempt = undefined;
	}

	#finish(): void {
		if (this.#timer === undefined) {
			return;
		}

		clearTimeout(this.#timer);
		this.#timer = undefined;
		this.#endAttempt();
		this.#context.onDone();
	}

	#logEnd(code: number): void {
		const {requestId, organisation, service} = this.#request;
		this.#context.metrics.count(`request.ended.${code}`);
		log.info({
			code, requestId, organisation, service, attempts: this.#state.attemptCount,
		}, describeCode(code).name);
	}
}
