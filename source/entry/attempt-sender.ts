/**
Sends attempts to targets, classifies their answers, and records the load and the health of the targets.

An attempt whose target is silent beyond the time when its answer is due is aborted, so that
the request can be retried at another target.
*/
import {Buffer} from 'node:buffer';
import * as option from 'fp-ts/lib/Option.js';
import {sharedParts} from '../decisions/entry/shared-parts.js';
import {classifyAnswer} from '../decisions/entry/classify-answer.js';
import type {AnswerFacts} from '../fleet/answer-facts.js';
import type {RequestFacts} from '../fleet/request-facts.js';
import type {SendInstructions} from '../fleet/send-instructions.js';
import type {TargetRecord} from '../fleet/target-record.js';
import type {AttemptOutcome} from './attempt-outcome.js';
import type {EntryContext} from './entry-context.js';
import type {TargetConnection} from './target-connection.js';
import {recordTargetState} from './record-target-state.js';
import {targetListStatus} from './target-list-status.js';
import type {LoadEntry} from './load-entry.js';

type Flow = {readonly pause: () => void; readonly resume: () => void};

type StreamSink = {
	readonly head: (facts: AnswerFacts) => void;
	readonly data: (chunk: Uint8Array, flow: Flow) => void;
	/** False when what has arrived cannot be a whole answer; asked when an answer without a length ends with its connection. */
	readonly mayEnd?: () => boolean;
};

type AttemptPlan = {
	readonly target: TargetRecord;
	readonly facts: RequestFacts;
	readonly method: string;
	readonly path: string;
	readonly body: Uint8Array | undefined;
	readonly instructions: SendInstructions;
	/** Estimated time of the target to prefill the prompt. */
	readonly readMilliseconds: number;
	/** Its entry in the load tracker, if one was reserved. */
	readonly entry?: LoadEntry;
	/** Time within which the target is expected to send something; 0 when left out. */
	readonly expectedMilliseconds?: number;
	/** Time until the answer is due. The attempt is aborted if the target is silent after that; never when left out. */
	readonly answerDueMilliseconds?: number;
	/** Called as the last check before the first byte is written; false stops the attempt from being sent. */
	readonly mayStart?: () => boolean;
	/** Receives a successful answer as it arrives; without it, answers are buffered. */
	readonly sink?: StreamSink;
	/** Returns the sink for a buffered answer that has become too large to buffer. */
	readonly spill?: () => StreamSink;
};

type ConnectionEnd = Parameters<Parameters<TargetConnection['send']>[1]['onEnd']>[0];

type RunningAttempt = {readonly outcome: Promise<AttemptOutcome>; readonly cancel: () => void};

const cancelledReason = 'broken off by the gateway';
const silentReason = 'silent';
/** Interval at which an attempt checks whether its target is silent. */
const silenceCheckMilliseconds = 200;
/** Bytes of an answer that are buffered before it is passed on as it arrives. */
const maxBufferedAnswerBytes = 1_048_576;

/** What has arrived of the answer to one attempt. */
type ReceivedAnswer = {facts?: AnswerFacts; answerKind?: ReturnType<typeof classifyAnswer>; chunks: Uint8Array[]; bytes: number; sink?: StreamSink};

const handleChunk = (received: ReceivedAnswer, chunk: Uint8Array, flow: Flow, spill: AttemptPlan['spill']): void => {
	if (received.sink !== undefined) {
		received.sink.data(chunk, flow);
		return;
	}

	received.chunks.push(Buffer.from(chunk));
	received.bytes += chunk.byteLength;
	if (received.bytes > maxBufferedAnswerBytes && spill !== undefined && received.answerKind === 'answer') {
		const sink = spill();
		received.sink = sink;
		sink.head(received.facts!);
		sink.data(Buffer.concat(received.chunks), flow);
		received.chunks = [];
	}
};

/** The end of the connection does not complete an answer that breaks off inside one of its parts. */
const checkEnd = ({facts, sink}: ReceivedAnswer, end: ConnectionEnd): ConnectionEnd => end.kind === 'complete' && facts?.isDelimited === false && sink?.mayEnd?.() === false
	? {kind: 'broken', reason: 'ended inside the answer'}
	: end;

const toOutcome = (received: ReceivedAnswer, isWhole: boolean, reason: string): AttemptOutcome => {
	const {facts, answerKind} = received;
	if (received.sink !== undefined) {
		return {kind: 'streamed', isWhole, reason};
	}

	switch (answerKind) {
		case 'not run':
		case 'other target': {
			return {kind: 'not run', isOtherTarget: answerKind === 'other target'};
		}

		case 'answer':
		case 'failure': {
			return isWhole ? {kind: answerKind, facts: facts!, body: Buffer.concat(received.chunks)} : {kind: 'unknown', reason};
		}

		case 'foreign': {
			return {kind: 'unknown', reason: 'answer of another request'};
		}

		case undefined: {
			return {kind: 'unknown', reason};
		}
	}
};

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
		const {context, target} = {context: this.#context, target: plan.target};
		const entry = plan.entry ?? context.loadTracker.add(target.id, plan.readMilliseconds);
		const maxConnections = context.service(target.service)?.mostConnections ?? 1;
		const connection = context.connections.acquire(target.address, maxConnections, context.gatewayCount(), context.now());
		if (option.isNone(connection)) {
			context.loadTracker.remove(entry);
			return {outcome: Promise.resolve({kind: 'not sent', reason: 'no free connection'}), cancel() {/* Nothing is in progress. */}};
		}

		const received: ReceivedAnswer = {chunks: [], bytes: 0};
		const startedAt = context.now();
		let isSent = false;
		let abort = (_reason: string): void => undefined;
		let silenceTimer: NodeJS.Timeout | undefined;
		const outcome = new Promise<AttemptOutcome>(resolve => {
			abort = connection.value.send({
				method: plan.method, path: plan.path, headers: context.protocol.writeAttempt(plan.facts, plan.instructions), body: plan.body,
			}, {
				mayStart: () => {
					if (!this.#checkStillUsable(plan)) {
						return false;
					}

					if (plan.mayStart?.() === false) {
						context.metrics.count('attempt.denied');
						return false;
					}

					context.health.recordSent(target.incarnation, plan.expectedMilliseconds ?? 0, context.now());
					isSent = true;
					silenceTimer = this.#startSilenceTimer(plan, startedAt, reason => {
						abort(reason);
					});
					return true;
				},
				onHead(status, headers) {
					clearInterval(silenceTimer);
					context.health.recordReceived(target.incarnation, context.now());
					received.facts = context.protocol.readAnswer(status, headers);
					received.answerKind = classifyAnswer(received.facts, plan.facts.requestId, !plan.instructions.isPrefillOnly);
					if (received.answerKind !== 'foreign' && received.answerKind !== 'other target') {
						recordTargetState(context, target, received.facts);
					}

					context.metrics.record('target-head', context.now() - startedAt);
					if (plan.sink !== undefined && received.answerKind === 'answer') {
						received.sink = plan.sink;
						plan.sink.head(received.facts);
					}
				},
				onData(chunk, flow) {
					context.loadTracker.endPrefill(entry);
					context.health.recordReceived(target.incarnation, context.now());
					handleChunk(received, chunk, flow, plan.spill);
				},
				onEnd: connectionEnd => {
					const end = checkEnd(received, connectionEnd);
					clearInterval(silenceTimer);
					context.loadTracker.remove(entry);
					if (isSent) {
						context.health.recordEnded(target.incarnation);
					}

					const result: AttemptOutcome = end.kind === 'not sent' ? end : toOutcome(received, end.kind === 'complete', end.kind === 'broken' ? end.reason : '');
					if (received.answerKind === 'foreign') {
						connection.value.destroy();
						context.connections.discard(target.address, connection.value);
					}

					if (end.kind === 'broken') {
						this.#recordBroken(plan, end.reason);
					}

					this.#recordOutcome(target, result);
					resolve(result);
					this.#onCapacity();
				},
			});
		});
		return {
			outcome,
			cancel() {
				abort(cancelledReason);
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

	/** Checks again that the target may get work, because that may have changed while the attempt waited for its connection. */
	#checkStillUsable({target, facts}: AttemptPlan): boolean {
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

	/** Aborts an attempt when its answer is overdue and this gateway has received nothing from its target on any attempt for too long. */
	#startSilenceTimer({target, answerDueMilliseconds}: AttemptPlan, startedAt: number, abort: (reason: string) => void): NodeJS.Timeout | undefined {
		if (answerDueMilliseconds === undefined) {
			return undefined;
		}

		const {health, now} = this.#context;
		return setInterval(() => {
			if (now() - startedAt > answerDueMilliseconds && health.isSilent(target.incarnation, now())) {
				abort(silentReason);
			}
		}, silenceCheckMilliseconds);
	}

	/** Reports an attempt that its target broke off, not this gateway. */
	#recordBroken({target, facts}: AttemptPlan, reason: string): void {
		if (reason !== cancelledReason && reason !== silentReason) {
			this.#context.crashMonitor.recordLost(target, {requestId: facts.requestId, parts: sharedParts(facts).map(({id}) => id)});
		}
	}

	/** Records what the outcome says of the target: its health, and whether another target has its address. */
	#recordOutcome(target: TargetRecord, result: AttemptOutcome): void {
		const {targetRegistry, health, metrics, log, now} = this.#context;
		const {incarnation} = target;
		const kind = result.kind === 'streamed' && !result.isWhole ? 'broken' : result.kind;
		metrics.count(`attempt.${kind}`);
		const isFailure = kind === 'unknown' || kind === 'broken' || kind === 'failure' || (result.kind === 'not sent' && result.reason !== 'no longer wanted' && result.reason !== cancelledReason);
		const isCancelled = 'reason' in result && result.reason === cancelledReason;
		if (result.kind === 'not run' && result.isOtherTarget && targetRegistry.markLeaving(incarnation, now())) {
			log.info({
				event: 'target leaving', target: target.id, address: target.address, source: 'target',
			}, 'address belongs to another target');
		} else if (isFailure && !isCancelled) {
			if (health.recordFailure(incarnation, kind === 'failure' ? 'answered' : 'lost', now())) {
				metrics.count('target.avoided');
				log.warn({
					event: 'target avoided', target: target.id, address: target.address, outcome: kind, failureShare: health.failureShare(incarnation),
				}, 'target temporarily avoided');
			}
		} else if (result.kind === 'answer' || result.kind === 'streamed') {
			health.recordSuccess(incarnation);
		}
	}
}
