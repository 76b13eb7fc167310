/**
One attempt at one target: what is checked before it is sent, what arrives, and how it ends.

An attempt whose target is silent beyond the time when its answer is due is aborted, so that
the request can be retried at another target.

A head that says that the request did not run, or that belongs to another request, is the whole
outcome. Nobody waits for its body, which may have no end.
*/
import {classifyAnswer} from '../decisions/entry/answers/classify-answer.js';
import {sharedParts} from '../decisions/entry/prompts/shared-parts.js';
import {AttemptTiming} from './attempt-timing.js';
import type {AttemptOutcome} from './attempt-outcome.js';
import type {AttemptPlan} from './attempt-plan.js';
import type {EntryContext} from './entry-context.js';
import type {LoadEntry} from './load-entry.js';
import {ownReasons} from './own-reasons.js';
import {ReceivedAnswer} from './received-answer.js';
import {recordTargetState} from './record-target-state.js';
import type {TargetConnection} from './target-connection.js';
import {targetListStatus} from './target-list-status.js';

type Handlers = Parameters<TargetConnection['send']>[1];
type ConnectionEnd = Parameters<Handlers['onEnd']>[0];

const foreignReason = 'answer of another request';
const discardedReason = 'nobody waits for the body';
const allOwnReasons: ReadonlySet<string> = new Set(Object.values(ownReasons));
/** What an answer tells of how long its target takes. */
const answerKinds = {
	answer: 'answer', 'not run': 'refusal', failure: 'other', 'other target': 'other', foreign: 'other', unattributed: 'other',
} as const;
/** Interval at which an attempt checks whether its target is silent. */
const silenceCheckMilliseconds = 200;
/** Time for a body that nobody waits for to end, so that its connection can be used again. */
const discardMilliseconds = 500;

/**
One instance an attempt. It records the load and the health of its target as it goes.

@example
```
const attempt = new TargetAttempt(plan, entry, context, () => queues.advance());
attempt.start(connection);
const outcome = await attempt.outcome;
```
*/
export class TargetAttempt {
	/** Settles exactly once, also for an attempt that is cancelled. */
	readonly outcome: Promise<AttemptOutcome>;
	readonly #plan: AttemptPlan;
	readonly #entry: LoadEntry;
	readonly #context: EntryContext;
	readonly #onCapacity: () => void;
	readonly #received: ReceivedAnswer;
	readonly #timing: AttemptTiming;
	readonly #startedAt: number;
	#resolve: ((outcome: AttemptOutcome) => void) | undefined;
	#abort: ((reason: string) => void) | undefined;
	#silenceTimer: NodeJS.Timeout | undefined;
	#cancelDiscard: (() => void) | undefined;
	#isSent = false;
	/** When the first byte was sent. */
	#sentAt: number | undefined;
	#isSettled = false;

	/** `onCapacity` is called when the target may have capacity for more work. */
	constructor(plan: AttemptPlan, entry: LoadEntry, context: EntryContext, onCapacity: () => void) {
		this.#plan = plan;
		this.#entry = entry;
		this.#context = context;
		this.#onCapacity = onCapacity;
		this.#received = new ReceivedAnswer(plan, context.bufferedAnswers, plan.target.id);
		this.#timing = new AttemptTiming(plan, entry, context);
		this.#startedAt = context.now();
		this.outcome = new Promise(resolve => {
			this.#resolve = resolve;
		});
	}

	/** Sends the attempt on a free connection. */
	start(connection: TargetConnection): void {
		const {facts, instructions, method, path, body} = this.#plan;
		this.#abort = connection.send({
			requestId: facts.requestId, method, path, headers: this.#context.protocol.writeAttempt(facts, instructions), body,
		}, {
			mayStart: () => this.#tryStart(),
			onHead: (status, headers, history) => {
				this.#receiveHead(status, headers, history);
			},
			onData: (chunk, flow) => {
				this.#receiveData(chunk, flow);
			},
			onEnd: end => {
				this.#handleEnd(end);
			},
		});
	}

	/** Aborts the attempt; without effect once its outcome is known. */
	cancel(): void {
		if (!this.#isSettled) {
			this.#abort?.(ownReasons.cancelled);
		}
	}

	#tryStart(): boolean {
		const {target, mayStart, expectedMilliseconds = 0} = this.#plan;
		const {health, metrics, now} = this.#context;
		if (!this.#checkStillUsable()) {
			return false;
		}

		if (mayStart?.() === false) {
			metrics.count('attempt.denied');
			return false;
		}

		health.recordSent(target.incarnation, expectedMilliseconds, now());
		this.#isSent = true;
		this.#sentAt = now();
		this.#timing.recordSent();
		this.#startSilenceTimer();
		return true;
	}

	/** Checks again that the target may get work, because that may have changed while the attempt waited for its connection. */
	#checkStillUsable(): boolean {
		const {target, facts} = this.#plan;
		const {targetRegistry, pauses, metrics, log, now} = this.#context;
		const isRegistered = targetRegistry.isUsable(target);
		const isPaused = pauses.isPaused(target.incarnation, now());
		const {listAge, revision} = targetListStatus(this.#context);
		if (isRegistered && !isPaused) {
			metrics.record('list-age', listAge);
			return true;
		}

		metrics.count('attempt.stopped');
		log.info({
			event: 'attempt stopped', request: facts.requestId, target: target.id, reason: isRegistered ? 'paused' : 'leaving or gone', listAge, revision,
		}, isRegistered ? 'attempt not sent: its target has asked for a pause' : 'attempt not sent: its target is leaving or gone');
		return false;
	}

	/** Aborts the attempt when its answer is overdue and this gateway has received nothing from its target on any attempt for too long. */
	#startSilenceTimer(): void {
		const {target, answerDueMilliseconds} = this.#plan;
		if (answerDueMilliseconds === undefined) {
			return;
		}

		const {health, now} = this.#context;
		this.#silenceTimer = setInterval(() => {
			if (now() - this.#startedAt > answerDueMilliseconds && health.isSilent(target.incarnation, now())) {
				this.#abort?.(ownReasons.silent);
			}
		}, silenceCheckMilliseconds);
	}

	#receiveHead(...[status, headers, history]: Parameters<Handlers['onHead']>): void {
		const {target, facts: {requestId}, instructions} = this.#plan;
		const {health, protocol, metrics, now} = this.#context;
		clearInterval(this.#silenceTimer);
		health.recordReceived(target.incarnation, now());
		const facts = protocol.readAnswer(status, headers);
		const kind = classifyAnswer(facts, {requestId, isForCaller: !instructions.isPrefillOnly, history});
		metrics.record('target-head', now() - this.#startedAt);
		this.#received.receiveHead(facts, kind);
		if (!this.#received.isOfOther && kind !== 'other target') {
			// Only an answer that names this request, and is no failure, can show that the target has no rate limit any more.
			const isOwnWord = facts.requestId === requestId && kind !== 'failure';
			recordTargetState(this.#context, target, facts, isOwnWord ? this.#sentAt : undefined);
			this.#timing.recordHead(facts, answerKinds[kind]);
		}

		if (this.#received.isDecided) {
			this.#settle({kind: 'complete'});
			this.#discardBody();
		}
	}

	/** Lets the body of a decided answer end for a moment. What follows another request's answer cannot be trusted, so that connection is closed. */
	#discardBody(): void {
		if (this.#received.isOfOther) {
			this.#context.metrics.count(`attempt.${this.#received.kind}`);
			this.#abort?.(foreignReason);
			return;
		}

		this.#cancelDiscard = this.#context.timers.after(discardMilliseconds, () => {
			this.#abort?.(discardedReason);
		});
	}

	#receiveData(chunk: Uint8Array, flow: Parameters<Handlers['onData']>[1]): void {
		const {loadTracker, health, now} = this.#context;
		if (!this.#isSettled) {
			loadTracker.endPrefill(this.#entry);
			this.#timing.recordData();
			health.recordReceived(this.#plan.target.incarnation, now());
		}

		if (!this.#received.tryReceiveData(chunk, flow)) {
			this.#giveUp();
		}
	}

	/** Closes the connection of an answer that is too large to be kept, because it may have no end. */
	#giveUp(): void {
		const {target, facts} = this.#plan;
		const {metrics, log, bufferedAnswers} = this.#context;
		metrics.count('attempt.answer-too-large');
		log.warn({
			event: 'answer too large', request: facts.requestId, target: target.id, address: target.address, answerKind: this.#received.kind, bytes: this.#received.bytes, bufferedBytes: bufferedAnswers.total,
		}, 'answer given up because it is too large to be kept');
		this.#abort?.(ownReasons.tooLarge);
	}

	#handleEnd(end: ConnectionEnd): void {
		this.#cancelDiscard?.();
		if (!this.#isSettled) {
			this.#settle(end);
		}
	}

	#settle(connectionEnd: ConnectionEnd): void {
		this.#isSettled = true;
		const {loadTracker, health} = this.#context;
		const end = this.#received.checkEnd(connectionEnd);
		clearInterval(this.#silenceTimer);
		loadTracker.remove(this.#entry);
		this.#timing.recordEnd();
		if (this.#isSent) {
			health.recordEnded(this.#plan.target.incarnation);
		}

		// A body that a target has ended itself, whole or not, is no sign of a crash.
		if (end.kind === 'broken' && !(connectionEnd.kind === 'complete' && this.#received.isDelimited)) {
			this.#recordBroken(end.reason);
		}

		const outcome = this.#received.end(end);
		this.#recordOutcome(outcome);
		this.#resolve?.(outcome);
		this.#onCapacity();
	}

	/** Reports an attempt that its target broke off, not this gateway. */
	#recordBroken(reason: string): void {
		const {target, facts} = this.#plan;
		if (!allOwnReasons.has(reason)) {
			this.#context.crashMonitor.recordLost(target, {requestId: facts.requestId, parts: sharedParts(facts).map(({id}) => id)});
		}
	}

	/** Records what the outcome says of the target: its health, and whether another target has its address. */
	#recordOutcome(outcome: AttemptOutcome): void {
		const {target} = this.#plan;
		const {targetRegistry, health, metrics, log, now} = this.#context;
		const {incarnation} = target;
		const kind = outcome.kind === 'streamed' && !outcome.isWhole ? 'broken' : outcome.kind;
		metrics.count(`attempt.${kind}`);
		const isFailure = kind === 'unknown' || kind === 'broken' || kind === 'failure' || (outcome.kind === 'not sent' && outcome.reason !== 'no longer wanted' && outcome.reason !== ownReasons.cancelled);
		const isCancelled = 'reason' in outcome && outcome.reason === ownReasons.cancelled;
		if (outcome.kind === 'not run' && outcome.isOtherTarget && targetRegistry.markLeaving(incarnation, now())) {
			log.info({
				event: 'target leaving', target: target.id, address: target.address, source: 'target',
			}, 'address belongs to another target');
		} else if (isFailure && !isCancelled) {
			this.#recordFailure(kind);
		} else if (outcome.kind === 'answer' || outcome.kind === 'streamed') {
			health.recordSuccess(incarnation);
		}
	}

	#recordFailure(kind: AttemptOutcome['kind'] | 'broken'): void {
		const {id, incarnation, address} = this.#plan.target;
		const {health, metrics, log, now} = this.#context;
		if (health.recordFailure(incarnation, kind === 'failure' ? 'answered' : 'lost', now())) {
			metrics.count('target.avoided');
			log.warn({
				event: 'target avoided', target: id, address, outcome: kind, failureShare: health.failureShare(incarnation),
			}, 'target temporarily avoided');
		}
	}
}
