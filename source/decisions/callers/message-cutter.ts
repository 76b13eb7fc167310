/**
Finds the places at which a request may end, so that an HTTP parser is never handed two requests at once.

The load that it addresses: callers send requests one after the other without waiting for answers.
An HTTP parser begins every request of a buffer that it is handed, thousands in 64 KB. A request
without a body, or with a chunked one, ends with an empty line, so the bytes are handed over up to
an empty line at a time. A body with a length is handed over by that length.
*/

const lineFeed = 10;
const carriageReturn = 13;

/** What has been seen of an empty line: nothing, the end of a line, or that and a carriage return. */
type Progress = 'none' | 'line ended' | 'carriage return';

/**
One instance a connection; it sees all bytes that are cut by empty lines, in their order.

@example
```
const cutter = new MessageCutter();
cutter.next(Buffer.from('GET / HTTP/1.1\r\n\r\nGET /'), 0); // 18
```
*/
export class MessageCutter {
	#progress: Progress = 'none';

	/** Returns the index after the next empty line, from `start` on, or the end of the bytes, at most `maxBytes` further on. */
	next(bytes: Uint8Array, start: number, maxBytes = Number.POSITIVE_INFINITY): number {
		const end = Math.min(bytes.length, start + maxBytes);
		let progress = this.#progress;
		// A loop over bytes, as this runs over all that callers send in heads and chunked bodies.
		for (let index = start; index < end; index++) {
			const byte = bytes[index]!;
			if (byte === lineFeed) {
				if (progress !== 'none') {
					this.#progress = 'none';
					return index + 1;
				}

				progress = 'line ended';
			} else {
				progress = byte === carriageReturn && progress === 'line ended' ? 'carriage return' : 'none';
			}
		}

		this.#progress = progress;
		return end;
	}

	/** Forgets what has been seen, after bytes that were cut by their length. */
	reset(): void {
		this.#progress = 'none';
	}
}
