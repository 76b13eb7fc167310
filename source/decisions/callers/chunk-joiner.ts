/**
Joins small chunks of a chunked body, before an HTTP parser sees them, into larger ones with the same bytes.

The load that it addresses: a body in chunks of one byte. The parser makes a call and a buffer for
each chunk, which takes some 2 microseconds of a core for each byte of the body.

Only chunks of the plainest form are joined: a size of one or two hexadecimal digits, no
extension, and all of it in the bytes at hand. Everything else is handed over as it came. After
anything that the parser might read in another way, nothing more of that body is joined, so the
parser alone decides what is malformed.
*/

const carriageReturn = 13;
const lineFeed = 10;
const semicolon = 59;
/** Larger sizes are left to the parser. */
const maxSizeDigits = 6;

/** Where in a chunk the next byte is. `unknown`: nothing is joined any more. */
type Place = 'size' | 'extension' | 'size end' | 'data' | 'data end' | 'chunk end' | 'unknown';

const digitOf = (byte: number): number => {
	if (byte >= 48 && byte <= 57) {
		return byte - 48;
	}

	const letter = byte | 32; // eslint-disable-line no-bitwise
	return letter >= 97 && letter <= 102 ? letter - 87 : -1;
};

const encode = (text: string): Uint8Array => Uint8Array.from(text, character => character.codePointAt(0)!);

const concat = (parts: readonly Uint8Array[]): Uint8Array => {
	const whole = new Uint8Array(parts.reduce((sum, {length}) => sum + length, 0));
	let length = 0;
	for (const part of parts) {
		whole.set(part, length);
		length += part.length;
	}

	return whole;
};

/**
One instance a connection. `begin` is called before the first byte of each chunked body.

Invariant: what is returned has the same body bytes in the same order as what was given, and ends at the same place of the same chunk.

@example
```
const joiner = new ChunkJoiner();
joiner.begin();
joiner.join(Buffer.from('1\r\na\r\n1\r\nb\r\n')); // '2\r\nab\r\n'
```
*/
export class ChunkJoiner {
	#place: Place = 'unknown';
	#digits = 0;
	#size = 0;
	/** Bytes of the present chunk that are still to come. */
	#left = 0;

	begin(): void {
		this.#startChunk();
	}

	/** Returns the bytes to hand over in place of these. */
	join(bytes: Uint8Array): Uint8Array {
		const start = this.#follow(bytes, 0, true);
		if (!this.#isAtChunk || this.#wholeChunk(bytes, start) === 0) {
			this.#follow(bytes, start, false);
			return bytes;
		}

		const joined = new Uint8Array(bytes.length - start);
		let length = 0;
		let count = 0;
		let position = start;
		for (let size = this.#wholeChunk(bytes, position); size > 0; size = this.#wholeChunk(bytes, position)) {
			const dataStart = position + (size > 15 || bytes[position + 1] !== carriageReturn ? 4 : 3);
			for (let index = 0; index < size; index++) {
				joined[length + index] = bytes[dataStart + index]!;
			}

			length += size;
			count++;
			position = dataStart + size + 2;
		}

		this.#follow(bytes, position, false);
		return count < 2 ? bytes : concat([bytes.subarray(0, start), encode(`${length.toString(16)}\r\n`), joined.subarray(0, length), encode('\r\n'), bytes.subarray(position)]);
	}

	get #isAtChunk(): boolean {
		return this.#place === 'size' && this.#digits === 0;
	}

	#startChunk(): void {
		this.#place = 'size';
		this.#digits = 0;
		this.#size = 0;
	}

	/** Size of the chunk that begins here, if it is of the plainest form and whole; 0 otherwise. */
	#wholeChunk(bytes: Uint8Array, position: number): number {
		const first = digitOf(bytes[position] ?? 0);
		const second = digitOf(bytes[position + 1] ?? 0);
		if (first < 0) {
			return 0;
		}

		const size = second < 0 ? first : (first * 16) + second;
		const lineEnd = position + (second < 0 ? 1 : 2);
		const dataEnd = lineEnd + 2 + size;
		const isWhole = bytes[lineEnd] === carriageReturn && bytes[lineEnd + 1] === lineFeed && bytes[dataEnd] === carriageReturn && bytes[dataEnd + 1] === lineFeed;
		return isWhole ? size : 0;
	}

	/** Follows the bytes from here on, to their end or to the beginning of the next chunk; returns where that is. */
	#follow(bytes: Uint8Array, start: number, isToChunk: boolean): number {
		const isThere = (): boolean => this.#place === 'unknown' || (isToChunk && this.#isAtChunk);
		let position = start;
		while (position < bytes.length && !isThere()) {
			if (this.#place === 'data') {
				const taken = Math.min(this.#left, bytes.length - position);
				this.#left -= taken;
				position += taken;
				this.#place = this.#left === 0 ? 'data end' : 'data';
			} else {
				this.#place = this.#next(bytes[position]!);
				position++;
			}
		}

		return position;
	}

	#next(byte: number): Place {
		switch (this.#place) {
			case 'size': {
				return this.#nextOfSize(byte);
			}

			case 'extension': {
				return byte === carriageReturn ? 'size end' : (byte === lineFeed ? 'unknown' : 'extension');
			}

			case 'size end': {
				this.#left = this.#size;
				return byte === lineFeed && this.#size > 0 ? 'data' : 'unknown';
			}

			case 'data end': {
				return byte === carriageReturn ? 'chunk end' : 'unknown';
			}

			case 'chunk end': {
				this.#startChunk();
				return byte === lineFeed ? 'size' : 'unknown';
			}

			case 'data':
			case 'unknown': {
				return this.#place;
			}
		}
	}

	#nextOfSize(byte: number): Place {
		const digit = digitOf(byte);
		if (digit >= 0 && this.#digits < maxSizeDigits) {
			this.#digits++;
			this.#size = (this.#size * 16) + digit;
			return 'size';
		}

		if (this.#digits === 0) {
			return 'unknown';
		}

		return byte === carriageReturn ? 'size end' : (byte === semicolon ? 'extension' : 'unknown');
	}
}
