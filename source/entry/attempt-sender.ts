/**
Runs one attempt at one target and keeps the books on it.
*/
import {Buffer} from 'node:buffer';
import * as option from 'fp-ts/lib/Option.js';
import {classifyAnswer} from '../decisions/entry/classify-answer.js';
import type {AnswerFacts} from '../fleet/answer-facts.js';
import type {RequestFacts} from '../fleet/request-facts.js';
import type {SendInstructions} from '../fleet/send-instructions.js';
import type {TargetRecord} from '../fleet/target-record.js';
import type {AttemptOutcome} from './attempt-outcome.js';
import type {EntryContext} from './entry-context.js';
import {listFacts} from './list-facts.js';
import type {LoadEntry} from './load-entry.js';

type Flow = {readonly pause: () => void; readonly resume: () => void};

type StreamSink = {readonly head: (facts: AnswerFacts) => void; readonly data: (chunk: Uint8Array, flow: Flow) => void};

type AttemptPlan = {
	readonly target: TargetRecord;
	readonly facts: RequestFacts;
	readonly method: string;
	readonly path: string;
	readonly body: Uint8Array | undefined;
	readonly instructions: SendInstructions;
	/** Time that reading its prompt will take the target. */
	readonly readMilliseconds: number;
	/** Its entry in the load book where one was reserved. */
	readonly entry?: LoadEntry;
	/** Time within which the target should say something, 0 when left out. */
	readonly expectedMilliseconds?: number;
	/** Time until its answer should begin, from which on a silent target is given up; without it, it never is. */
	readonly answerDueMilliseconds?: number;
	/** Asked last of all before the first byte is handed over; false keeps the attempt from being sent. */
	readonly mayStart?: () => boolean;
	/** Takes a successful answer as it comes; without it answers are collected. */
	readonly sink?: StreamSink;
	/** A collected answer over this size goes to the sink that this gives. */
	readonly spill?: () => StreamSink;
};

type RunningAttempt = {readonly outcome: Promise<AttemptOutcome>; readonly cancel: () => void};

const brokenOff = 'broken off by the gateway';
/** Pause between two looks whether a target has fallen silent. */
const watchMilliseconds = 200;
/** Bytes of an answer that are collected before it is passed on as it comes. */
const mostCollectedBytes = 1_048_576;

/** Answers of one attempt, as they arrive. */
type Arrival = {facts?: AnswerFacts; judgement?: ReturnType<typeof classifyAnswer>; chunks: Uint8Array[]; bytes: number; sink?: StreamSink};

const collect = (arrival: Arrival, chunk: Uint8Array, flow: Flow, spill: AttemptPlan['spill']): void => {
	if (arrival.sink !== undefined) {
		arrival.sink.data(chunk, flow);
		return;
	}

	arrival.chunks.push(Buffer.from(chunk));
	arrival.bytes += chunk.byteLength;
	if (arrival.bytes > mostCollectedBytes && spill !== undefined && arrival.judgement === 'answer') {
		const sink = spill();
		arrival.sink = sink;
		sink.head(arrival.facts!);
		sink.data(Buffer.concat(arrival.chunks), flow);
		arrival.chunks = [];
	}
};

const conclude = (arrival: Arrival, isWhole: boolean, reason: string): AttemptOutcome => {
	const {facts, judgement} = arrival;
	if (arrival.sink !== undefined) {
		return {kind: 'streamed', isWhole, reason};
	}

	switch (judgement) {
		case 'not run':
		case 'other target': {
			return {kind: 'not run', isOtherTarget: judgement === 'other target'};
		}

		case 'answer':
		case 'failure': {
			return isWhole ? {kind: judgement, facts: facts!, body: Buffer.concat(arrival.chunks)} : {kind: 'unknown', reason};
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
Sends attempts; one instance a process.

@example
```
const {outcome, cancel} = sender.send({target, facts, method, path, body, instructions, readMilliseconds: 0});
```
*/
export class AttemptSender {
	readonly #context: EntryContext;
	readonly #onRoom: () => void;

	/** `onRoom` is called whenever a target may have room again. */
	constructor(context: EntryContext, onRoom: () => void) {
		this.#context = context;
		this.#onRoom = onRoom;
	}

	send(plan: AttemptPlan): RunningAttempt {
		const {context, target} = {context: this.#context, target: plan.target};
		const entry = plan.entry ?? context.loadTracker.add(target.id, plan.readMilliseconds);
		const mostConnections = context.service(target.service)?.mostConnections ?? 1;
		const connection = context.connections.take(target.address, mostConnections, context.gatewayCount(), context.now());
		if (option.isNone(connection)) {
			context.loadTracker.remove(entry);
			return {outcome: Promise.resolve({kind: 'not sent', reason: 'no free connection'}), cancel() {/* Nothing is under way. */}};
		}

		const arrival: Arrival = {chunks: [], bytes: 0};
		const startedAt = context.now();
		let isSent = false;
		let breakOff = (_reason: string): void => undefined;
		let watch: NodeJS.Timeout | undefined;
		const outcome = new Promise<AttemptOutcome>(resolve => {
			breakOff = connection.value.send({
				method: plan.method, path: plan.path, headers: context.protocol.writeAttempt(plan.facts, plan.instructions), body: plan.body,
			}, {
				mayStart: () => {
					if (!this.#isStillUsable(plan)) {
						return false;
					}

					if (plan.mayStart?.() === false) {
						context.metrics.count('attempt.denied');
						return false;
					}

					context.health.recordSent(target.incarnation, plan.expectedMilliseconds ?? 0, context.now());
					isSent = true;
					watch = this.#watch(plan, startedAt, reason => {
						breakOff(reason);
					});
					return true;
				},
				onHead(status, headers) {
					clearInterval(watch);
					context.health.recordReceived(target.incarnation, context.now());
					arrival.facts = context.protocol.readAnswer(status, headers);
					arrival.judgement = classifyAnswer(arrival.facts, plan.facts.requestId, !plan.instructions.isPrefillOnly);
					context.metrics.record('target-head', context.now() - startedAt);
					if (plan.sink !== undefined && arrival.judgement === 'answer') {
						arrival.sink = plan.sink;
						plan.sink.head(arrival.facts);
					}
				},
				onData(chunk, flow) {
					context.loadTracker.endPrefill(entry);
					context.health.recordReceived(target.incarnation, context.now());
					collect(arrival, chunk, flow, plan.spill);
				},
				onEnd: end => {
					clearInterval(watch);
					context.loadTracker.remove(entry);
					if (isSent) {
						context.health.recordEnded(target.incarnation);
					}

					const result: AttemptOutcome = end.kind === 'not sent' ? end : conclude(arrival, end.kind === 'complete', end.kind === 'broken' ? end.reason : '');
					if (arrival.judgement === 'foreign') {
						connection.value.destroy();
						context.connections.discard(target.address, connection.value);
					}

					this.#learn(target, result);
					resolve(result);
					this.#onRoom();
				},
			});
		});
		return {
			outcome,
			cancel() {
				breakOff(brokenOff);
			},
		};
	}

	/** Frees what an engine keeps for a hand-over that does not come. */
	async free(target: TargetRecord, handleId: string, facts: RequestFacts): Promise<void> {
		const {method, path} = this.#context.protocol.releaseHandleRequest(handleId);
		const freeing: RequestFacts = {...facts, headers: ['Host', target.address]};
		const instructions = {
			targetId: target.id, remainingMilliseconds: 1000, rank: undefined, isPrefillOnly: false, handle: undefined, fetchFrom: undefined, lastEventId: undefined,
		};
		const {outcome} = this.send({
			target, facts: freeing, method, path, body: undefined, instructions, readMilliseconds: 0,
		});
		const result = await outcome;
		this.#context.log.debug({request: facts.requestId, target: target.id, outcome: result.kind}, 'unused prompt freed');
	}

	/** Looks once more whether the target may get work, as that may have changed while the attempt waited for its connection. */
	#isStillUsable({target, facts}: AttemptPlan): boolean {
		const {targetRegistry, metrics, log} = this.#context;
		const isUsable = targetRegistry.isUsable(target);
		const {listAge, revision} = listFacts(this.#context);
		if (isUsable) {
			metrics.record('list-age', listAge);
		} else {
			metrics.count('attempt.stopped');
			log.info({
				event: 'attempt stopped', request: facts.requestId, target: target.id, listAge, revision,
			}, 'attempt not sent, as its target leaves or has gone');
		}

		return isUsable;
	}

	/** Gives an attempt up whose answer is overdue at a target that says nothing to anyone here. */
	#watch({target, answerDueMilliseconds}: AttemptPlan, startedAt: number, giveUp: (reason: string) => void): NodeJS.Timeout | undefined {
		if (answerDueMilliseconds === undefined) {
			return undefined;
		}

		const {health, now} = this.#context;
		return setInterval(() => {
			if (now() - startedAt > answerDueMilliseconds && health.isSilent(target.incarnation, now())) {
				giveUp('silent');
			}
		}, watchMilliseconds);
	}

	#learn(target: TargetRecord, result: AttemptOutcome): void {
		const {targetRegistry, health, metrics, log, now} = this.#context;
		const {incarnation} = target;
		const name = result.kind === 'streamed' && !result.isWhole ? 'broken' : result.kind;
		metrics.count(`attempt.${name}`);
		const isFailure = name === 'unknown' || name === 'broken' || name === 'failure' || (result.kind === 'not sent' && result.reason !== 'no longer wanted' && result.reason !== brokenOff);
		const isCancelled = 'reason' in result && result.reason === brokenOff;
		if (result.kind === 'not run' && result.isOtherTarget && targetRegistry.markLeaving(incarnation, now())) {
			log.info({
				event: 'target leaving', target: target.id, address: target.address, source: 'target',
			}, 'address belongs to another target');
		} else if (isFailure && !isCancelled) {
			if (health.recordFailure(incarnation, name === 'failure' ? 'answered' : 'lost', now())) {
				metrics.count('target.avoided');
				log.warn({
					event: 'target avoided', target: target.id, address: target.address, outcome: name, failureShare: health.failureShare(incarnation),
				}, 'target avoided for a while');
			}
		} else if (result.kind === 'answer' || result.kind === 'streamed') {
			health.recordSuccess(incarnation);
		}
	}
}
