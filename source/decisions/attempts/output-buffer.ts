/**
Buffers the output of one attempt until its gateway acknowledges it, so that it can be sent again.
*/
import type {FinishedMessage, OutputMessage} from '../../generated/messages.js';
import {resultCode} from '../../generated/result-codes.js';
import {assertInvariant} from '../../shared/assert-invariant.js';

type SequencedMessage = OutputMessage | FinishedMessage;

/**
Numbers the output parts of an attempt from 1 and keeps each until it is acknowledged.

Invariant: the parts held have consecutive numbers, and a `finished` message is the last of them.

@example
```
const buffer = new OutputBuffer();
buffer.append(sequence => ({kind: 'output', attemptId, sequence, text}));
```
*/
export class OutputBuffer {
	#parts: SequencedMessage[] = [];
	#lastSequence = 0;
	#acknowledgedThrough = 0;
	#hasEnded = false;

	get isFullyAcknowledged(): boolean {
		return this.#hasEnded && this.#parts.length === 0;
	}

	/** Creates the next part with its sequence number, keeps it and returns it for sending. */
	append<Part extends SequencedMessage>(createPart: (sequence: number) => Part): Part {
		assertInvariant(!this.#hasEnded, resultCode.answerInvariantBroken, 'output after the end');
		this.#lastSequence += 1;
		const part = createPart(this.#lastSequence);
		this.#hasEnded = part.kind === 'finished';
		this.#parts.push(part);
		return part;
	}

	/** Discards the parts that the gateway has received. */
	acknowledge(receivedThrough: number): void {
		if (receivedThrough <= this.#acknowledgedThrough || receivedThrough > this.#lastSequence) {
			return;
		}

		this.#acknowledgedThrough = receivedThrough;
		this.#parts = this.#parts.filter(part => part.sequence > receivedThrough);
	}

	/** Returns the kept parts after `receivedThrough`, in order. */
	partsAfter(receivedThrough: number): readonly SequencedMessage[] {
		return this.#parts.filter(part => part.sequence > receivedThrough);
	}
}
