/**
Tracks one request from its start to its final answer: its deadline, its attempts and
retries, and the errors that the gateway itself returns. The relays of plain calls and
of streams share it.
*/
import {nextStep} from '../decisions/entry/requests/next-step.js';
import type {WindowedRetryBudget} from '../decisions/entry/requests/windowed-retry-budget.js';
import {retryAfter} from '../decisions/entry/requests/retry-after.js';
import {saysNotRun} from '../decisions/entry/answers/says-not-run.js';
import {RequestUsage} from '../duties/request-usage.js';
import {resultCode} from '../generated/result-codes.js';
import type {TargetRecord} from '../fleet/target-record.js';
import type {AttemptOutcome} from './attempt-outcome.js';
import type {CallerRequest} from './caller-request.js';
import type {EntryContext} from './entry-context.js';
import {unsentReasons} from './unsent-reasons.js';
import {RequestLog} from './request-log.js';
import {RetryPermit} from './retry-permit.js';
import {teamInLogs} from './team-in-logs.js';

/** Time reserved before the deadline so that the final answer reaches the caller in time. */
const answerMarginMilliseconds = 25;

/** Time within which a target is expected to appear when none is known. */
const targetAppearsMilliseconds = 800;

type Ending = {readonly outcome: string; readonly code?: number; readonly reason?: string; readonly retryAfterSeconds?: number};

type LifecycleOptions = {
	/** True when the request may be sent again although it may have run. */
	readonly isRepeatable: () => boolean;
	/** True while an attempt is in progress that may have run. */
	readonly hasLiveAttempt: () => boolean;
};

/**
One instance a request.

Invariant: the caller gets exactly one final answer, at the deadline at the latest. It
says "not run" only if no attempt can have run.

@example
```
const lifecycle = new RequestLifecycle(request, context, {isRepeatable: () => false, hasLiveAttempt: () => hasLiveAttempt});
lifecycle.begin();
```
*/
export class RequestLifecycle {
	/** Log lines of this request. */
	readonly log: RequestLog;
	/** Counts the request once it has begun to run at a target. */
	readonly usage: RequestUsage;
	/** Ids of the targets that refused this request or failed to answer it. */
	readonly avoid = new Set<string>();
	#cancelAttempt: (() => void) | undefined;
	/** Attempts that may have run. */
	#ran = 0;
	/** Attempts that targets refused without running them. */
	#refused = 0;
	/** Attempts that never left the gateway. */
	#unsent = 0;
	#isEnded = false;
	#firstEventAt: number | undefined;
	#cancelDeadline: (() => void) | undefined;
	readonly #context: EntryContext;
	readonly #options: LifecycleOptions;
	readonly #permit: RetryPermit;

	constructor(readonly request: CallerRequest, context: EntryContext, options: LifecycleOptions) {
		this.#context = context;
		this.#options = options;
		this.#permit = new RetryPermit(context.retryBudget(request.service), context.now);
		this.log = new RequestLog(context.log, request.facts.requestId, request.startedAt, teamInLogs(request.team));
		this.usage = new RequestUsage(context.duties?.counter, request.team);
	}

	get isEnded(): boolean {
		return this.#isEnded;
	}

	/** Milliseconds left until the deadline. */
	get remaining(): number {
		return this.request.deadlineAt - this.#context.now();
	}

	/** Counts the request in the retry budget, starts its deadline timer, and ends the request if the caller disconnects. */
	begin(): void {
		const {answer, service} = this.request;
		this.#context.retryBudget(service).recordRequest(this.#context.now());
		answer.onDisconnect(() => {
			this.end({outcome: 'caller gone'});
		});
		this.#cancelDeadline = this.#context.timers.after(Math.max(0, this.remaining - answerMarginMilliseconds), () => {
			this.#giveUp({running: resultCode.deadlinePassedWhileRunning, waiting: resultCode.deadlineUnreachable, reason: 'time limit'});
		});
		this.#context.openRequests.add(this);
	}

	/** Sends the final answer because the gateway is about to end. */
	stop(): void {
		this.#giveUp({running: resultCode.stoppedWhileRunning, waiting: resultCode.stopping, reason: 'gateway stops'});
	}

	/** Sets the function that cancels the current attempt, or the wait for an engine, when the request ends. */
	setCancelAttempt(cancel: () => void): void {
		this.#cancelAttempt = cancel;
	}

	/** Counts an attempt that ran and whose answer was passed on as it arrived, completely or not. */
	recordRun(): void {
		this.#ran++;
	}

	/** Refuses the request at once if the configuration in force does not admit it any more and no attempt may be running. */
	refuseIfDenied(): void {
		if (!this.#options.hasLiveAttempt() && this.request.recheckAccess().kind === 'denied') {
			this.#refuseUnadmitted();
		}
	}

	/** Called just before the first byte of each attempt is sent; false when the configuration in force or the retry budget denies it. */
	tryStartAttempt(): boolean {
		if (this.request.recheckAccess().kind !== 'unchanged') {
			return false;
		}

		const isAllowed = this.#permit.tryStartAttempt();
		const now = this.#context.now();
		if (!isAllowed) {
			this.#countDeniedRetry();
			this.log.add('attempt denied', this.#retryBudgetFacts(), now);
		} else if (this.#permit.arrivals > 1) {
			this.#context.metrics.count('retry.arrival');
			this.log.add('arrival beyond the first', {arrivals: this.#permit.arrivals, ...this.#retryBudgetFacts()}, now);
		}

		return isAllowed;
	}

	/** True when the retry budget allows a prefill at another engine than the decode engine. */
	mayPrefillSeparately(): boolean {
		return this.#permit.mayPrefillSeparately();
	}

	/** Records that a target accepted the prefill that was sent last. */
	recordAcceptedPrefill(): void {
		this.#permit.recordAcceptedPrefill();
	}

	/**
	Handles the outcome of an attempt without an answer for the caller.

	Returns true when another attempt is to be sent. Otherwise the request has ended.
	*/
	handleUnansweredAttempt(target: TargetRecord, outcome: Exclude<AttemptOutcome, {readonly kind: 'answer'} | {readonly kind: 'streamed'}>): boolean {
		this.#ran += outcome.kind === 'unknown' || outcome.kind === 'failure' ? 1 : 0;
		this.#refused += outcome.kind === 'not run' ? 1 : 0;
		this.#unsent += outcome.kind === 'not sent' ? 1 : 0;
		this.avoid.add(target.id);
		if (outcome.kind === 'not sent' && this.#refuseUnadmitted()) {
			return false;
		}

		const {route} = this.request;
		const mayRetry = this.#permit.mayRetry();
		const attempts = {
			isRepeatable: this.#options.isRepeatable(),
			mostAttempts: route.mostAttempts,
			ran: this.#ran,
			refused: this.#refused,
			unsent: this.#unsent,
			remainingMilliseconds: this.remaining,
		};
		const step = nextStep(outcome.kind, {...attempts, mayRetry});
		const isRetryDenied = !mayRetry && nextStep(outcome.kind, {...attempts, mayRetry: true}) === 'again';
		if (isRetryDenied) {
			this.#countDeniedRetry();
		}

		this.#context.metrics.count(`step.${outcome.kind.replace(' ', '-')}.${step.replace(' ', '-')}`);
		this.log.add('attempt brought no answer', {
			target: target.id,
			outcome: outcome.kind,
			reason: 'reason' in outcome ? outcome.reason : '',
			step,
			ran: this.#ran,
			refused: this.#refused,
			mayRetry,
			...this.#retryBudgetFacts(),
			remaining: Math.round(this.remaining),
		}, this.#context.now());
		switch (step) {
			case 'again': {
				this.#permit.hold();
				return !this.isEnded;
			}

			case 'refuse': {
				this.refuse(isRetryDenied ? resultCode.retriesExhausted : this.#refusalCode(outcome));
				return false;
			}

			case 'fail': {
				this.fail(resultCode.targetLost);
				return false;
			}

			case 'pass on': {
				if (outcome.kind === 'failure') {
					this.#passOn(outcome);
				}

				return false;
			}
		}
	}

	/**
	Ends the request with an error that says that it has not run; fails it instead if an attempt may have run.

	`wantedMilliseconds` is the time until there may be room for it; `isSpread` is true when that differs between callers already.
	*/
	refuse(code: number, wantedMilliseconds = 300, isSpread = false): void {
		this.#refuseAfter(code, retryAfter({
			wantedMilliseconds, remainingMilliseconds: this.remaining, isSpread, random: this.#context.random,
		}));
	}

	/** Ends the request because no target can take it now: none is known, all have asked for a pause, or their rate limits are used up. */
	refuseWithoutTarget(): void {
		const {targetRegistry, pauses, rateLimits, now} = this.#context;
		const {service} = this.request;
		const targets = targetRegistry.usable(service);
		const pauseMilliseconds = pauses.shortest(targets.map(({incarnation}) => incarnation), now());
		if (pauseMilliseconds > 0) {
			this.refuse(resultCode.targetsPaused, pauseMilliseconds);
			return;
		}

		// An engine that only prefills cannot answer.
		const answering = targets.filter(({role, incarnation}) => role !== 'prefill' && !pauses.isPaused(incarnation, now())).map(({incarnation}) => incarnation);
		if (rateLimits.areAllLimited(answering)) {
			this.refuse(resultCode.targetsRateLimited, rateLimits.returnMilliseconds(service, answering), true);
		} else {
			this.refuse(resultCode.noTarget, targetAppearsMilliseconds);
		}
	}

	/** Ends the request with an error, or aborts its answer: it is not known whether the request ran, or the answer is incomplete. */
	fail(code: number, reason = ''): void {
		const {answer, facts} = this.request;
		if (answer.isStarted) {
			answer.abort();
		} else {
			answer.sendError(code, this.#context.protocol.writeRefusal(facts.requestId));
		}

		this.end({outcome: 'failed', code, reason});
	}

	/** Cancels what is in progress, and records the outcome in the metrics and the log; only the first call has an effect. */
	end(ending: Ending): void {
		if (this.#isEnded) {
			return;
		}

		this.#isEnded = true;
		this.#context.openRequests.delete(this);
		this.#cancelDeadline?.();
		this.#cancelAttempt?.();
		this.#permit.end();
		const {route, service, configurationVersion, startedAt} = this.request;
		const now = this.#context.now();
		const milliseconds = Math.round(now - startedAt);
		this.#context.metrics.count(`request.${ending.outcome.replaceAll(' ', '-')}${ending.code === undefined ? '' : `.${ending.code}`}`);
		this.#context.metrics.record(`request-${route.kind}`, milliseconds);
		this.log.add('request ended', {
			route: route.name,
			service,
			configurationVersion,
			milliseconds,
			firstEvent: this.#firstEventAt === undefined ? undefined : Math.round(this.#firstEventAt - startedAt),
			ran: this.#ran,
			arrivals: this.#permit.arrivals,
			...this.#recordUse(now),
			...ending,
		}, now);
		const isOnTime = ending.outcome === 'answered' && (this.#firstEventAt ?? now) - startedAt <= route.targetLatencyMilliseconds;
		this.log.end(!isOnTime, this.#context.sampling, now);
	}

	/** Records when the first event of the answer is sent to the caller. */
	recordFirstEvent(): void {
		this.#firstEventAt = this.#context.now();
		this.#context.metrics.record('first-event', this.#firstEventAt - this.request.startedAt);
	}

	/** Passes on a target's failure, unless its status would promise what the target has not said: that a request that may run only once has not run. */
	#passOn({facts, body}: Extract<AttemptOutcome, {readonly kind: 'failure'}>): void {
		if (saysNotRun(facts.status) && !this.#options.isRepeatable()) {
			this.fail(resultCode.refusalUnconfirmed, `status ${facts.status} of the target`);
			return;
		}

		this.request.answer.send(facts, body);
		this.end({outcome: 'target failed'});
	}

	/** As `refuse`, with the time after which the caller may return; undefined when returning cannot help. */
	#refuseAfter(code: number, retryAfterSeconds: number | undefined): void {
		if (this.#ran > 0) {
			this.fail(resultCode.targetLost);
			return;
		}

		this.request.answer.sendError(code, this.#context.protocol.writeRefusal(this.request.facts.requestId), retryAfterSeconds);
		this.end({outcome: 'refused', code, retryAfterSeconds});
	}

	/** Ends the request if the configuration in force does not admit it as it was admitted; true when it has. */
	#refuseUnadmitted(): boolean {
		const change = this.request.recheckAccess();
		if (change.kind === 'unchanged') {
			return false;
		}

		this.#context.metrics.count(`access.withdrawn.${change.kind}`);
		this.log.add('access withdrawn', {change: change.kind, key: 'key' in change ? change.key : undefined, admittedBy: this.request.configurationVersion}, this.#context.now());
		switch (change.kind) {
			case 'denied': {
				this.#refuseAfter(resultCode.unknownKey, undefined);
				return true;
			}

			case 'undecided': {
				this.refuse(resultCode.noConfiguration);
				return true;
			}

			case 'moved': {
				this.refuse(resultCode.teamChanged);
				return true;
			}
		}
	}

	/** Charges the request to its team, and returns what the team has used, for the log. */
	#recordUse(now: number): ReturnType<EntryContext['fairness']['facts']> {
		const {fairness, service} = this.#context;
		fairness.recordEnded(this.request, this.#firstEventAt === undefined ? undefined : now - this.#firstEventAt, service(this.request.service)?.engine?.slots ?? 1);
		return fairness.facts(this.request);
	}

	#refusalCode(outcome: AttemptOutcome): number {
		if (outcome.kind === 'not sent' && outcome.reason === unsentReasons.noConnection) {
			return resultCode.noFreeConnection;
		}

		return outcome.kind === 'not run' ? resultCode.queueFull : resultCode.targetUnreachable;
	}

	#countDeniedRetry(): void {
		this.#context.metrics.count('retry.denied');
	}

	/** State of the retry budget of this request's service, for a log line. */
	#retryBudgetFacts(): ReturnType<WindowedRetryBudget['facts']> {
		const {retryBudget, now} = this.#context;
		return retryBudget(this.request.service).facts(now());
	}

	/** Sends the final answer before there is one of a target; it says "not run" only if no attempt can have run. */
	#giveUp({running, waiting, reason}: {readonly running: number; readonly waiting: number; readonly reason: string}): void {
		const mayHaveRun = this.#ran > 0 || this.#options.hasLiveAttempt();
		if (this.isEnded) {
			return;
		}

		if (mayHaveRun) {
			this.fail(running, reason);
		} else {
			this.refuse(waiting);
		}
	}
}
