/**
What the relays of plain calls and of streams have in common: time limits,
counting of attempts, and the final answers of the gateway's own.
*/
import {nextStep} from '../decisions/entry/next-step.js';
import type {WindowedRetryBudget} from '../decisions/entry/windowed-retry-budget.js';
import {retryAfter} from '../decisions/entry/retry-after.js';
import {resultCode} from '../generated/result-codes.js';
import type {TargetRecord} from '../fleet/target-record.js';
import type {AttemptOutcome} from './attempt-outcome.js';
import type {CallerRequest} from './caller-request.js';
import type {EntryContext} from './entry-context.js';
import {RequestLog} from './request-log.js';
import {RetryPermit} from './retry-permit.js';

/** Time kept for the final answer's way to the caller. */
const marginMilliseconds = 25;

type Ending = {readonly outcome: string; readonly code?: number; readonly reason?: string; readonly retryAfterSeconds?: number};

type Hooks = {
	/** True when the request may be sent once more after it may have run. */
	readonly isRepeatable: () => boolean;
	/** True while an attempt is under way that may have run. */
	readonly hasLiveRun: () => boolean;
};

/**
The course of one request, whichever relay carries it.

Invariant: exactly one final answer is given, at the limit at the latest, and
"not run" only when no attempt may have run.

@example
```
const course = new RequestCourse(request, context, {isRepeatable: () => false, hasLiveRun: () => isLive});
course.begin();
```
*/
export class RequestCourse {
	/** What the log says of this request. */
	readonly lines: RequestLog;
	/** Targets that refused or failed this request. */
	readonly avoid = new Set<string>();
	#cancelAttempt: (() => void) | undefined;
	/** Attempts that may have run. */
	#ran = 0;
	#refused = 0;
	#unsent = 0;
	#isOver = false;
	#firstEventAt: number | undefined;
	#cancelLimit: (() => void) | undefined;
	readonly #context: EntryContext;
	readonly #hooks: Hooks;
	readonly #permit: RetryPermit;

	constructor(readonly request: CallerRequest, context: EntryContext, hooks: Hooks) {
		this.#context = context;
		this.#hooks = hooks;
		this.#permit = new RetryPermit(context.retryBudget(request.service), context.now);
		this.lines = new RequestLog(context.log, request.facts.requestId, request.startedAt);
	}

	get isOver(): boolean {
		return this.#isOver;
	}

	get remaining(): number {
		return this.request.limitAt - this.#context.now();
	}

	/** Starts the time limit and the watch over the caller's connection. */
	begin(): void {
		const {answer, service} = this.request;
		this.#context.retryBudget(service).recordRequest(this.#context.now());
		answer.onGone(() => {
			this.over({outcome: 'caller gone'});
		});
		this.#cancelLimit = this.#context.timers.after(Math.max(0, this.remaining - marginMilliseconds), () => {
			this.#onLimit();
		});
	}

	/** Takes what breaks the attempt off that is under way. */
	attemptUnderWay(cancel: () => void): void {
		this.#cancelAttempt = cancel;
	}

	/** Records an attempt that ran to an answer which broke off. */
	brokeOff(): void {
		this.#ran++;
	}

	/** Asked before the first byte of each attempt; false when the retry budget has no room for it now. */
	mayArrive(): boolean {
		const mayArrive = this.#permit.mayArrive();
		const now = this.#context.now();
		if (!mayArrive) {
			this.#countDenied();
			this.lines.add('attempt denied', this.#retryFacts(), now);
		} else if (this.#permit.arrivals > 1) {
			this.#context.metrics.count('retry.arrival');
			this.lines.add('arrival beyond the first', {arrivals: this.#permit.arrivals, ...this.#retryFacts()}, now);
		}

		return mayArrive;
	}

	/** True when the prompt may be read apart from its run, as far as the retry budget goes. */
	mayReadApart(): boolean {
		return this.#permit.mayReadApart();
	}

	/** Records that a target took the reading that was sent last. */
	readingTaken(): void {
		this.#permit.readingTaken();
	}

	/** Takes the outcome of an attempt that brought no answer; true when the request goes on. */
	mayGoOn(target: TargetRecord, outcome: Exclude<AttemptOutcome, {readonly kind: 'answer'} | {readonly kind: 'streamed'}>): boolean {
		this.#ran += outcome.kind === 'unknown' || outcome.kind === 'failure' ? 1 : 0;
		this.#refused += outcome.kind === 'not run' ? 1 : 0;
		this.#unsent += outcome.kind === 'not sent' ? 1 : 0;
		this.avoid.add(target.id);
		const {route} = this.request;
		const mayRetry = this.#permit.mayRetry();
		const attempts = {
			isRepeatable: this.#hooks.isRepeatable(),
			mostAttempts: route.mostAttempts,
			ran: this.#ran,
			refused: this.#refused,
			unsent: this.#unsent,
			remainingMilliseconds: this.remaining,
		};
		const step = nextStep(outcome.kind, {...attempts, mayRetry});
		const isDenied = !mayRetry && nextStep(outcome.kind, {...attempts, mayRetry: true}) === 'again';
		if (isDenied) {
			this.#countDenied();
		}

		this.#context.metrics.count(`step.${outcome.kind.replace(' ', '-')}.${step.replace(' ', '-')}`);
		this.lines.add('attempt brought no answer', {
			target: target.id,
			outcome: outcome.kind,
			reason: 'reason' in outcome ? outcome.reason : '',
			step,
			ran: this.#ran,
			refused: this.#refused,
			mayRetry,
			...this.#retryFacts(),
			remaining: Math.round(this.remaining),
		}, this.#context.now());
		switch (step) {
			case 'again': {
				this.#permit.hold();
				return !this.isOver;
			}

			case 'refuse': {
				this.refuse(isDenied ? resultCode.retriesExhausted : this.#refusalCode(outcome.kind));
				return false;
			}

			case 'fail': {
				this.fail(resultCode.targetLost);
				return false;
			}

			case 'pass on': {
				if (outcome.kind === 'failure') {
					this.request.answer.whole(outcome.facts, outcome.body);
					this.over({outcome: 'target failed'});
				}

				return false;
			}
		}
	}

	/** Final: the request has not run. */
	refuse(code: number, wantedMilliseconds = 300): void {
		if (this.#ran > 0) {
			this.fail(resultCode.targetLost);
			return;
		}

		const seconds = retryAfter({wantedMilliseconds, remainingMilliseconds: this.remaining, random: this.#context.random});
		this.request.answer.refuse(code, this.#context.protocol.writeRefusal(this.request.facts.requestId), seconds);
		this.over({outcome: 'refused', code, retryAfterSeconds: seconds});
	}

	/** Final: whether the request ran is not known, or its answer broke off. */
	fail(code: number, reason = ''): void {
		const {answer, facts} = this.request;
		if (answer.isStarted) {
			answer.breakOff();
		} else {
			answer.refuse(code, this.#context.protocol.writeRefusal(facts.requestId));
		}

		this.over({outcome: 'failed', code, reason});
	}

	/** Ends the request's books, once. */
	over(ending: Ending): void {
		if (this.#isOver) {
			return;
		}

		this.#isOver = true;
		this.#cancelLimit?.();
		this.#cancelAttempt?.();
		this.#permit.end();
		const {route, service, configurationVersion, startedAt} = this.request;
		const now = this.#context.now();
		const milliseconds = Math.round(now - startedAt);
		this.#context.metrics.count(`request.${ending.outcome.replaceAll(' ', '-')}${ending.code === undefined ? '' : `.${ending.code}`}`);
		this.#context.metrics.record(`request-${route.kind}`, milliseconds);
		this.lines.add('request ended', {
			route: route.name,
			service,
			configurationVersion,
			milliseconds,
			firstEvent: this.#firstEventAt === undefined ? undefined : Math.round(this.#firstEventAt - startedAt),
			ran: this.#ran,
			arrivals: this.#permit.arrivals,
			...ending,
		}, now);
		const wentWell = ending.outcome === 'answered' && (this.#firstEventAt ?? now) - startedAt <= route.targetLatencyMilliseconds;
		this.lines.end(!wentWell, this.#context.sampling, now);
	}

	/** Records when the caller got the first of its answer. */
	answerBegins(): void {
		this.#firstEventAt = this.#context.now();
	}

	#refusalCode(outcome: AttemptOutcome['kind']): number {
		return outcome === 'not run' ? resultCode.queueFull : resultCode.targetUnreachable;
	}

	#countDenied(): void {
		this.#context.metrics.count('retry.denied');
	}

	/** What a log line says of the retries of this request's service. */
	#retryFacts(): ReturnType<WindowedRetryBudget['facts']> {
		const {retryBudget, now} = this.#context;
		return retryBudget(this.request.service).facts(now());
	}

	/** Gives the final answer when the time is up, with a truthful word on whether the request ran. */
	#onLimit(): void {
		const mayHaveRun = this.#ran > 0 || this.#hooks.hasLiveRun();
		if (this.isOver) {
			return;
		}

		if (mayHaveRun) {
			this.fail(resultCode.deadlinePassedWhileRunning, 'time limit');
		} else {
			this.refuse(resultCode.deadlineUnreachable);
		}
	}
}
