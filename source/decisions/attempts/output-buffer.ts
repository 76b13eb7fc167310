/**
The output of one attempt that its gateway has not yet acknowledged.
*/
import type {FinishedMessage, OutputMessage} from '../../generated/messages.js';
import {resultCode} from '../../generated/result-codes.js';
import {assertInvariant} from '../../shared/assert-invariant.js';

type Numbered = OutputMessage | FinishedMessage;

/**
Numbers an attempt's output from 1 and keeps each part until it is acknowledged.

Invariant: the parts held are consecutive, and the end is the last of them.

@example
```
const buffer = new OutputBuffer();
buffer.append(sequence => ({kind: 'output', attemptId, sequence, text}));
```
*/
export class OutputBuffer {
	#parts: Numbered[] = [];
	#last = 0;
	#acknowledged = 0;
	#ended = false;

	get isSettled(): boolean {
		return this.#ended && this.#parts.length === 0;
	}

	/** Numbers and keeps the next part; returns it for sending. */
	append<Part extends Numbered>(make: (sequence: number) => Part): Part {
		assertInvariant(!this.#ended, resultCode.answerInvariantBroken, 'output after the end');
		this.#last += 1;
		const part = make(this.#last);
		this.#ended = part.kind === 'finished';
		this.#parts.push(part);
		return part;
	}

	/** Frees what the gateway has. */
	acknowledge(receivedThrough: number): void {
		if (receivedThrough <= this.#acknowledged || receivedThrough > this.#last) {
			return;
		}

		this.#acknowledged = receivedThrough;
		this.#parts = this.#parts.filter(part => part.sequence > receivedThrough);
	}

	/** The parts that a gateway lacks, in order. */
	after(receivedThrough: number): readonly Numbered[] {
		return this.#parts.filter(part => part.sequence > receivedThrough);
	}
}
