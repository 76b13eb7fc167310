/**
Collects the answer to one attempt, and decides at its end what it amounts to.

Every way in which an answer can end leads to `end`, which alone says whether it is whole.

A faulty target may send bytes without end. An answer that is passed on as it arrives takes no
more memory for that. Any other is bounded, as is an event of a stream, and the sum of all that
is held.
*/
import type {classifyAnswer} from '../decisions/entry/answers/classify-answer.js';
import type {AnswerFacts} from '../fleet/answer-facts.js';
import {BytePieces} from '../shared/byte-pieces.js';
import type {AnswerSink} from './answer-sink.js';
import type {AttemptOutcome} from './attempt-outcome.js';
import type {AttemptPlan} from './attempt-plan.js';
import type {BufferedBytes} from './buffered-bytes.js';
import type {TargetConnection} from './target-connection.js';

type AnswerKind = ReturnType<typeof classifyAnswer>;

type ConnectionEnd = Parameters<Parameters<TargetConnection['send']>[1]['onEnd']>[0];

type Flow = Parameters<AnswerSink['data']>[1];

type Sinks = Pick<AttemptPlan, 'sink' | 'spill'>;

const endedInsideReason = 'ended inside the answer';
/** Bytes of an answer, or of one event, that are held before it is passed on as it arrives, or given up. */
const maxBufferedAnswerBytes = 1_048_576;
/** Bytes that are read after a head that has decided the outcome, so that the connection can be used again. */
const maxDiscardedBytes = 65_536;

/**
One instance an attempt. `end` must be called, so that the bytes held are counted no more.

@example
```
received.receiveHead(facts, 'answer');
if (!received.tryReceiveData(chunk, flow)) {
	abort('answer too large');
}

const outcome = received.end({kind: 'complete'});
```
*/
export class ReceivedAnswer {
	#facts: AnswerFacts | undefined;
	#kind: AnswerKind | undefined;
	#bytes = 0;
	/** Bytes of this answer that are counted in `#buffered`. */
	#heldBytes = 0;
	#sink: AnswerSink | undefined;
	/** What has arrived of an answer that is kept until it is whole. */
	readonly #kept = new BytePieces();
	readonly #sinks: Sinks;
	readonly #buffered: BufferedBytes;
	readonly #target: string;

	/** `target` is the one whose answer it is, or empty. */
	constructor(sinks: Sinks, buffered: BufferedBytes, target = '') {
		this.#target = target;
		this.#sinks = sinks;
		this.#buffered = buffered;
	}

	get kind(): AnswerKind | undefined {
		return this.#kind;
	}

	/** True when the head alone is the outcome, whatever the body. */
	get isDecided(): boolean {
		return this.#kind === 'not run' || this.#kind === 'other target' || this.isOfOther;
	}

	/** True when the answer is, or may be, that to another request or attempt. */
	get isOfOther(): boolean {
		return this.#kind === 'foreign' || this.#kind === 'unattributed';
	}

	/** True when the answer has a length or chunks, so that its body can end before its connection. */
	get isDelimited(): boolean {
		return this.#facts?.isDelimited === true;
	}

	/** Bytes of the body that have arrived, while they were not passed on. */
	get bytes(): number {
		return this.#bytes;
	}

	receiveHead(facts: AnswerFacts, kind: AnswerKind): void {
		this.#facts = facts;
		this.#kind = kind;
		const {sink} = this.#sinks;
		if (sink !== undefined && kind === 'answer' && sink.accepts?.(facts) !== false) {
			this.#sink = sink;
			sink.head(facts);
		}
	}

	/** Takes a piece of the answer; false when the answer has become too large, and the attempt is to be aborted. */
	tryReceiveData(chunk: Uint8Array, flow: Flow): boolean {
		if (this.#sink !== undefined) {
			this.#sink.data(chunk, flow);
			return this.#tryHold(this.#sink.heldBytes?.() ?? 0);
		}

		this.#bytes += chunk.byteLength;
		switch (this.#kind) {
			case 'answer':
			case 'failure': {
				return this.#tryBuffer(chunk, flow);
			}

			case 'not run':
			case 'other target':
			case 'foreign':
			case 'unattributed':
			case undefined: {
				return this.#bytes <= maxDiscardedBytes;
			}
		}
	}

	/** Returns the end of the answer: one whose body has ended inside one of its parts is broken off, however the body was framed. */
	checkEnd(end: ConnectionEnd): ConnectionEnd {
		return end.kind === 'complete' && this.#sink?.mayEnd?.(this.isDelimited) === false
			? {kind: 'broken', reason: endedInsideReason}
			: end;
	}

	/** Returns the outcome of an attempt whose answer ended like this. */
	end(end: ConnectionEnd): AttemptOutcome {
		this.#tryHold(0);
		switch (end.kind) {
			case 'not sent': {
				return end;
			}

			case 'broken': {
				return this.#toOutcome(false, end.reason);
			}

			case 'complete': {
				return this.#toOutcome(true, '');
			}
		}
	}

	/** Buffers a piece, or passes on an answer that has become too large for that; false when it can be neither. */
	#tryBuffer(chunk: Uint8Array, flow: Flow): boolean {
		const isHeld = this.#tryHold(this.#bytes);
		const spill = this.#kind === 'answer' ? this.#sinks.spill : undefined;
		if (!isHeld && spill === undefined) {
			this.#kept.take();
			return false;
		}

		this.#kept.append(chunk);
		if (!isHeld) {
			this.#passOn(spill!(), flow);
		}

		return true;
	}

	/** Passes on what is buffered, and what follows as it arrives. */
	#passOn(sink: AnswerSink, flow: Flow): void {
		this.#sink = sink;
		this.#tryHold(0);
		sink.head(this.#facts!);
		sink.data(this.#kept.take(), flow);
	}

	/** Counts what is held now; false when that is too much, for this answer or for all. */
	#tryHold(bytes: number): boolean {
		const isHeld = bytes <= maxBufferedAnswerBytes && this.#buffered.tryReplace(this.#heldBytes, bytes, this.#target);
		this.#heldBytes = isHeld ? bytes : this.#heldBytes;
		return isHeld;
	}

	#toOutcome(isWhole: boolean, reason: string): AttemptOutcome {
		if (this.#sink !== undefined) {
			return {kind: 'streamed', isWhole, reason};
		}

		switch (this.#kind) {
			case 'not run':
			case 'other target': {
				return {kind: 'not run', isOtherTarget: this.#kind === 'other target'};
			}

			case 'answer':
			case 'failure': {
				return isWhole ? {kind: this.#kind, facts: this.#facts!, body: this.#kept.take()} : {kind: 'unknown', reason};
			}

			case 'foreign': {
				return {kind: 'unknown', reason: 'answer of another request'};
			}

			case 'unattributed': {
				return {kind: 'unknown', reason: 'answer that may be of an earlier request'};
			}

			case undefined: {
				return {kind: 'unknown', reason};
			}
		}
	}
}
