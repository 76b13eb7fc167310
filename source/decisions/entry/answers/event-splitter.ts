/**
Splits a byte stream of server-sent events after its last complete event.

A target may fail in the middle of an event. Only complete events are passed on,
so that another target can continue the stream after the last one. The bytes are
passed on unchanged; they are decoded only to find the last `id` line.

A target that fails may write the head of another answer into a stream without a length or chunks.
Nothing from there on belongs to the stream.

A faulty target may send an event without end, or events of a few bytes, in pieces of any size.
Each byte is looked at a fixed number of times and copied a bounded number of times, and no
object is made for an event or a piece.
*/
import {ByteAccumulator} from '../../../shared/byte-accumulator.js';

const lineFeed = 0x0A;
const carriageReturn = 0x0D;

type Split = {
	/** The events that this chunk has completed, joined; empty when it has completed none. */
	readonly events: Uint8Array;
	/** The id of the last of them that has one. */
	readonly lastId: string | undefined;
};

const noEvents: Split = {events: new Uint8Array(0), lastId: undefined};

const decoder = new TextDecoder('latin1');

const blankLine = /\n\r*\n/g;
const statusLine = /(?:^|\n)HTTP\/1\.[01] \d{3}[ \r\n]/;

/** Returns the length of the events before the head of another answer; undefined when there is none. */
const lengthBeforeHead = (text: string): number | undefined => {
	const head = statusLine.exec(text);
	if (head === null) {
		return undefined;
	}

	const ends = [...text.slice(0, head.index + 1).matchAll(blankLine)].map(match => match.index + match[0].length);
	return ends.at(-1) ?? 0;
};

/** Returns the value of the last `id` line. */
const readLastId = (text: string): string | undefined => {
	const line = text.lastIndexOf('\nid:') + 1;
	if (line === 0 && !text.startsWith('id:')) {
		return undefined;
	}

	const end = text.indexOf('\n', line);
	return text.slice(line + 'id:'.length, end).replace(/^ /, '').replace(/\r+$/, '');
};

/**
Keeps the bytes of one target's stream until their event is complete.

Invariant: the events returned so far, followed by `heldBytes` more, are the bytes pushed so far, up to the head of another answer.

@example
```
const {events, lastId} = splitter.push(chunk);
```
*/
export class EventSplitter {
	/** The event that is not complete yet. */
	readonly #unfinished = new ByteAccumulator();
	/** True while nothing but a carriage return has come since the last line feed, so that the next line feed ends the event. */
	#isAtLineStart = false;
	#hasEvents = false;
	/** True once the head of another answer has come. */
	#isBroken = false;

	/** Bytes of an event that is not complete yet. */
	get heldBytes(): number {
		return this.#unfinished.length;
	}

	/** Bytes of memory that the unfinished event uses. */
	get heldCapacity(): number {
		return this.#unfinished.capacity;
	}

	/**
	True when the stream may end here: after an event, and not inside one.

	A stream without any event may be whole only if its body says where it ends, as a stream does that is continued after its last event.
	*/
	mayEnd(isDelimited: boolean): boolean {
		return !this.#isBroken && this.heldBytes === 0 && (this.#hasEvents || isDelimited);
	}

	push(chunk: Uint8Array): Split {
		if (this.#isBroken) {
			return noEvents;
		}

		const end = this.#endOfLastEvent(chunk);
		if (end === 0) {
			this.#unfinished.append(chunk);
			return noEvents;
		}

		const events = this.#takeEvents(chunk.subarray(0, end));
		this.#hasEvents = true;
		if (end < chunk.length) {
			this.#unfinished.append(chunk.subarray(end));
		}

		return this.#checkEvents(events);
	}

	/** Returns the index after the last blank line of a chunk, or 0; it goes on where the chunk before it ended. */
	#endOfLastEvent(chunk: Uint8Array): number {
		let isAtLineStart = this.#isAtLineStart;
		let length = 0;
		let end = 0;
		for (const byte of chunk) {
			length++;
			if (byte === lineFeed) {
				end = isAtLineStart ? length : end;
				isAtLineStart = !isAtLineStart;
			} else {
				isAtLineStart &&= byte === carriageReturn;
			}
		}

		this.#isAtLineStart = isAtLineStart;
		return end;
	}

	/** Returns the events up to the head of another answer, if there is one. */
	#checkEvents(events: Uint8Array): Split {
		const text = decoder.decode(events);
		const length = lengthBeforeHead(text);
		if (length === undefined) {
			return {events, lastId: readLastId(text)};
		}

		this.#isBroken = true;
		this.#unfinished.take();
		return {events: events.subarray(0, length), lastId: readLastId(text.slice(0, length))};
	}

	#takeEvents(rest: Uint8Array): Uint8Array {
		if (this.heldBytes === 0) {
			return Uint8Array.from(rest);
		}

		this.#unfinished.append(rest);
		return this.#unfinished.take();
	}
}
