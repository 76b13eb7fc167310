/**
The answer to one request for a stream: complete server-sent events, of one attempt or of several.

Every stream goes through here, whether engines serve it or a plain service. It is passed on as it
arrives, and an attempt that ends inside an event was broken off. Then another target continues
the stream after its last event, where the route allows that.
*/
import {EventSplitter} from '../decisions/entry/answers/event-splitter.js';
import {isEventStream} from '../decisions/entry/answers/is-event-stream.js';
import {mayContinueStream} from '../decisions/entry/answers/may-continue-stream.js';
import type {AnswerFacts} from '../fleet/answer-facts.js';
import type {TargetRecord} from '../fleet/target-record.js';
import type {AnswerAssembly} from './answer-assembly.js';
import type {AnswerSink} from './answer-sink.js';
import type {AttemptOutcome} from './attempt-outcome.js';
import type {AttemptPlan} from './attempt-plan.js';
import type {CallerRequest} from './caller-request.js';
import type {EntryContext} from './entry-context.js';
import {passOnTo} from './pass-on-to.js';
import type {RequestLifecycle} from './request-lifecycle.js';

/** Is told what the answer proves of its prompt. */
type StreamObserver = {
	readonly recordEvents: () => void;
	readonly recordAnswered: () => void;
};

/**
One instance a request.

Invariant: the caller gets only complete events, of one attempt or of attempts that each
continue after the last event of the one before.

@example
```
const assembly = new StreamAnswer(request, context, lifecycle);
```
*/
export class StreamAnswer implements AnswerAssembly {
	#lastEventId: string | undefined;
	#hasSentEvents = false;
	/** True once bytes of an answer that is no stream have been passed on. */
	#hasPassedOn = false;
	/** Head of the first stream, with which the caller's answer is started. */
	#head: AnswerFacts | undefined;
	readonly #request: CallerRequest;
	readonly #context: Pick<EntryContext, 'now'>;
	readonly #lifecycle: RequestLifecycle;
	readonly #observer: StreamObserver | undefined;

	constructor(request: CallerRequest, context: Pick<EntryContext, 'now'>, lifecycle: RequestLifecycle, observer?: StreamObserver) {
		this.#request = request;
		this.#context = context;
		this.#lifecycle = lifecycle;
		this.#observer = observer;
	}

	get isRepeatable(): boolean {
		return this.#request.route.isResumable && !this.#hasPassedOn && (!this.#hasSentEvents || this.#lastEventId !== undefined);
	}

	get lastEventId(): string | undefined {
		return this.#lastEventId;
	}

	createReceivers(): Pick<AttemptPlan, 'sink' | 'spill'> {
		// An answer that is no stream can be the caller's only if no stream has been started.
		return {sink: this.#createSink(), ...this.#request.answer.isStarted ? {} : {spill: () => this.#passOn()}};
	}

	handleOutcome(target: TargetRecord, outcome: AttemptOutcome): boolean {
		switch (outcome.kind) {
			case 'streamed': {
				if (outcome.isWhole) {
					this.#finish();
					return false;
				}

				return this.#lifecycle.handleUnansweredAttempt(target, {kind: 'unknown', reason: outcome.reason});
			}

			case 'answer':
			case 'failure':
			case 'unknown': {
				return this.#handleOtherAnswer(target, outcome);
			}

			case 'not sent':
			case 'not run': {
				return this.#lifecycle.handleUnansweredAttempt(target, outcome);
			}
		}
	}

	#createSink(): AnswerSink {
		const splitter = new EventSplitter();
		return {
			accepts: head => isEventStream(head) && (!this.#request.answer.isStarted || mayContinueStream(this.#head!, head)),
			head: head => {
				// A stream that is continued keeps the head of its first target, with which its caller's answer was started.
				this.#head = this.#request.answer.isStarted ? this.#head : head;
			},
			data: (chunk, flow) => {
				this.#forwardEvents(splitter.push(chunk), flow);
			},
			heldBytes: () => splitter.heldBytes,
			mayEnd: isDelimited => splitter.mayEnd(isDelimited),
		};
	}

	#passOn(): AnswerSink {
		this.#hasPassedOn = true;
		return passOnTo(this.#request.answer);
	}

	/**
	Handles an attempt that brought no stream; true when another one is to be sent.

	A whole answer is the caller's only if no event was sent, because it cannot go on with the events of another target.
	*/
	#handleOtherAnswer(target: TargetRecord, result: Extract<AttemptOutcome, {readonly kind: 'answer' | 'failure' | 'unknown'}>): boolean {
		const {answer} = this.#request;
		const outcome = answer.isStarted && result.kind !== 'unknown' ? {kind: 'unknown' as const, reason: `status ${result.facts.status} in place of the rest of the stream`} : result;
		if (outcome.kind !== 'answer') {
			return this.#lifecycle.handleUnansweredAttempt(target, outcome);
		}

		answer.send(outcome.facts, outcome.body);
		this.#lifecycle.end({outcome: 'answered'});
		return false;
	}

	#forwardEvents({events, lastId}: ReturnType<EventSplitter['push']>, flow: Parameters<AnswerSink['data']>[1]): void {
		if (events.length === 0 || this.#lifecycle.isEnded) {
			return;
		}

		this.#observer?.recordEvents();
		this.#lifecycle.usage.recordBegun(this.#context.now());
		this.#start();
		this.#request.answer.write(events, flow);
		this.#hasSentEvents = true;
		this.#lastEventId = lastId ?? this.#lastEventId;
	}

	#start(): void {
		if (!this.#request.answer.isStarted) {
			this.#lifecycle.recordFirstEvent();
			this.#request.answer.start(this.#head!);
		}
	}

	#finish(): void {
		this.#observer?.recordAnswered();
		this.#start();
		this.#request.answer.end();
		this.#lifecycle.end({outcome: 'answered'});
	}
}
