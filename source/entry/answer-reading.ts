/**
Hands over the body of one answer, joined to one piece for all that has arrived together.

The HTTP parser reports each chunk of a chunked body by itself, and a chunk may be of one byte.
What lies behind this module works once for each piece that it gets.
*/
import {ByteAccumulator} from '../shared/byte-accumulator.js';
import type {AnswerPacer} from './answer-pacer.js';
import {ReadingGate} from './reading-gate.js';

type Flow = {readonly pause: () => void; readonly resume: () => void};

type ReadingHandlers = {
	readonly onData: (bytes: Uint8Array, flow: Flow) => void;
	/** Called when `onData` has thrown, which nobody else would notice. */
	readonly onError: (error: Error) => void;
};

/**
One instance an answer. Reports to the pacer how long each piece took to read.

@example
```
const reading = new AnswerReading(socketReading, pacer, {onData, onError});
reading.receive(chunk);
reading.flush();
reading.close();
```
*/
export class AnswerReading {
	#readsSince: number | undefined;
	#isClosed = false;
	readonly #arrived = new ByteAccumulator();
	readonly #gate: ReadingGate;
	readonly #flow: Flow;
	readonly #pacer: AnswerPacer;
	readonly #handlers: ReadingHandlers;

	/** `reading` pauses and resumes the connection. */
	constructor(reading: Flow, pacer: AnswerPacer, handlers: ReadingHandlers) {
		this.#gate = new ReadingGate(reading);
		this.#pacer = pacer;
		this.#handlers = handlers;
		this.#flow = {
			pause: () => {
				this.#gate.hold('caller');
			},
			resume: () => {
				this.#gate.release('caller');
			},
		};
	}

	/** Takes a part of the body; it is handed over once the parser has come to the end of what has arrived. */
	receive(chunk: Uint8Array): void {
		this.#arrived.append(chunk);
		if (this.#readsSince === undefined) {
			this.#readsSince = this.#pacer.now();
			queueMicrotask(() => {
				this.flush();
			});
		}
	}

	/** Hands over what has arrived. */
	flush(): void {
		if (this.#isClosed || this.#readsSince === undefined) {
			return;
		}

		const startedAt = this.#readsSince;
		const bytes = this.#arrived.take();
		this.#readsSince = undefined;
		try {
			this.#handlers.onData(bytes, this.#flow);
		} catch (error) {
			this.#handlers.onError(error as Error);
		}

		if (!this.#isClosed) {
			this.#pacer.recordRead(this.#gate, bytes.length, this.#pacer.now() - startedAt);
		}
	}

	/** The answer has ended: nothing more is handed over. */
	close(): void {
		this.#isClosed = true;
		this.#gate.close();
		this.#pacer.remove(this.#gate);
	}
}
