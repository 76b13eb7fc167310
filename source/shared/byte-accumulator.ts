/**
Joins pieces of bytes as they arrive.

The pieces may be as small as one byte, so none of them is kept as an object of its own.
*/

/**
Holds the bytes in one buffer, which doubles when it is full.

Invariant: `capacity` is at most twice `length`, or the length of the first piece.

@example
```
const accumulator = new ByteAccumulator();
accumulator.append(chunk);
const whole = accumulator.take();
```
*/
export class ByteAccumulator {
	#buffer = new Uint8Array(0);
	#length = 0;

	/** Bytes appended since the last `take`. */
	get length(): number {
		return this.#length;
	}

	/** Bytes of memory that it uses. */
	get capacity(): number {
		return this.#buffer.length;
	}

	/** Copies a piece, which the caller may use for something else afterwards. */
	append(piece: Uint8Array): void {
		const length = this.#length + piece.length;
		if (length > this.#buffer.length) {
			this.#grow(length);
		}

		this.#buffer.set(piece, this.#length);
		this.#length = length;
	}

	/** Returns all bytes and is empty afterwards. */
	take(): Uint8Array {
		const bytes = this.#buffer.subarray(0, this.#length);
		this.#buffer = new Uint8Array(0);
		this.#length = 0;
		return bytes;
	}

	#grow(length: number): void {
		const former = this.#buffer.subarray(0, this.#length);
		this.#buffer = new Uint8Array(Math.max(length, this.#buffer.length * 2));
		this.#buffer.set(former);
	}
}
