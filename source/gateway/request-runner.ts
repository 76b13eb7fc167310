/**
Carries out the decisions about one request.
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

const noTargetRetryMilliseconds = 1000;
const log = logger.child({module: 'request'});

type RunnerContext = {
	readonly gateway: string;
	readonly availabilityZone: string;
	readonly links: TargetLinks;
	readonly directory: TargetDirectory;
	readonly budget: RetryBudget;
	readonly metrics: Metrics;
	readonly onDone: () => void;
};

/**
Runs one request to its final answer.

@example
```
new RequestRunner(request, sink, context).start();
```
*/
export class RequestRunner {
	#state: RequestState;
	#current: {readonly attemptId: string; readonly target: string} | undefined;
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
		this.#context.budget.recordRequest();
		this.#timer = setTimeout(() => {
			this.#dispatch({kind: 'deadline'});
		}, this.#request.deadlineMilliseconds);
		this.#chooseTarget([]);
	}

	/** The caller's connection has closed. */
	callerGone(): void {
		this.#dispatch({kind: 'caller gone'});
	}

	#dispatch(event: RequestEvent): void {
		const broken = catchInvariantError(this.#context.metrics, {requestId: this.#request.requestId}, () => {
			const {state, effects} = decideRequest(this.#state, event);
			this.#state = state;
			for (const effect of effects) {
				this.#perform(effect);
			}
		});
		// A request that has its final answer is not answered again.
		if (broken !== undefined && this.#timer !== undefined) {
			this.#state = {...this.#state, phase: 'done'};
			this.#sink.fail(broken.code);
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
				this.#context.budget.recordRetry();
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
				this.#context.directory.recordSuccess(this.#current?.target ?? '');
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
					this.#dispatch({kind: 'no target', code: resultCode.noTarget, retryAfterMilliseconds: noTargetRetryMilliseconds});
				},
				({name}) => {
					this.#dispatch({kind: 'target chosen', attemptId: newIdentifier(), target: name});
				},
			),
		);
	}

	#sendAttempt({attemptId, target, emitted, emittedParts}: Extract<RequestEffect, {readonly kind: 'send attempt'}>): void {
		const link = this.#context.links.get(target);
		this.#current = {attemptId, target};
		this.#context.directory.recordSent(target, this.#request.promptTokens);
		if (link === undefined) {
			this.#dispatch({kind: 'unsent', attemptId, mayRetry: this.#mayRetry('unsent')});
			return;
		}

		link.start(this.#attemptMessage(attemptId, emitted, emittedParts), {
			onSent: () => {
				this.#dispatch({kind: 'sent', attemptId});
			},
			onUnsent: () => {
				this.#dispatch({kind: 'unsent', attemptId, mayRetry: this.#mayRetry('unsent')});
			},
			onReplaced: () => {
				this.#dispatch({kind: 'link replaced', attemptId});
			},
			onUnknown: certainlyNotRun => {
				this.#dispatch({
					kind: 'attempt unknown', attemptId, certainlyNotRun, mayRetry: this.#mayRetry('attempt-unknown'),
				});
			},
			onLost: () => {
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
				// A dead target answers fast and looks idle; without ejection it would attract work.
				this.#context.directory.recordFailure(target, clock());
			}

			this.#dispatch({...message, mayRetry: this.#mayRetry(`refused-${message.code}`)});
			return;
		}

		if (message.kind === 'finished') {
			const isWhole = message.code === resultCode.ok;
			if (!isWhole) {
				this.#context.directory.recordFailure(target, clock());
			}

			this.#dispatch({...message, contentType: message.contentType ?? '', mayRetry: !isWhole && this.#mayRetry(`finished-${message.code}`)});
		}
	}

	#mayRetry(reason: string): boolean {
		const allowed = this.#context.budget.allowsRetry;
		this.#context.metrics.count(`retry.${allowed ? 'allowed' : 'denied'}.${reason}`);
		return allowed;
	}

	#send(message: Message): void {
		this.#context.links.get(this.#current?.target ?? '')?.send(message);
	}

	#endAttempt(): void {
		if (this.#current === undefined) {
			return;
		}

		this.#context.links.get(this.#current.target)?.end(this.#current.attemptId);
		this.#context.directory.recordEnded(this.#current.target);
		this.#current = undefined;
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
