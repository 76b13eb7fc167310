/**
Collects the bytes of a body without copying what arrives in large pieces.

Pieces may be as small as one byte, so small ones are copied into blocks and none of them is kept as
an object of its own.
*/
import {Buffer} from 'node:buffer';

/** Pieces of at least this size are kept as they are. */
const largeBytes = 4096;
const firstBlockBytes = 1024;
const maxBlockBytes = 65_536;

/**
Invariant: `capacity` is at most a block more than what was appended; the number of objects grows with the bytes, not with the pieces.

@example
```
const pieces = new BytePieces();
pieces.append(chunk);
const body = pieces.take();
```
*/
export class BytePieces {
	#length = 0;
	#capacity = 0;
	#pieces: Uint8Array[] = [];
	#block: Uint8Array | undefined;
	#blockLength = 0;

	get length(): number {
		return this.#length;
	}

	/** Bytes of memory that it uses. */
	get capacity(): number {
		return this.#capacity;
	}

	/** Takes a piece, which must not change afterwards. */
	append(piece: Uint8Array): void {
		// The first piece is mostly the whole body.
		if (piece.length >= largeBytes || this.#length === 0) {
			this.#closeBlock();
			this.#pieces.push(piece);
			this.#capacity += piece.length;
		} else {
			this.#copy(piece);
		}

		this.#length += piece.length;
	}

	/** Returns all bytes and is empty afterwards. */
	take(): Uint8Array {
		this.#closeBlock();
		const pieces = this.#pieces;
		this.clear();
		return pieces.length === 1 ? pieces[0]! : Buffer.concat(pieces);
	}

	clear(): void {
		this.#pieces = [];
		this.#block = undefined;
		this.#blockLength = 0;
		this.#length = 0;
		this.#capacity = 0;
	}

	#copy(piece: Uint8Array): void {
		if (this.#block !== undefined && this.#blockLength + piece.length > this.#block.length) {
			this.#closeBlock();
		}

		if (this.#block === undefined) {
			this.#block = new Uint8Array(Math.max(piece.length, Math.min(maxBlockBytes, Math.max(firstBlockBytes, this.#length))));
			this.#blockLength = 0;
			this.#capacity += this.#block.length;
		}

		this.#block.set(piece, this.#blockLength);
		this.#blockLength += piece.length;
	}

	#closeBlock(): void {
		if (this.#block !== undefined) {
			// A block that is mostly empty must not outlast the pieces around it.
			const isFull = this.#blockLength === this.#block.length;
			this.#pieces.push(isFull ? this.#block : this.#block.slice(0, this.#blockLength));
			this.#capacity -= this.#block.length - this.#blockLength;
			this.#block = undefined;
		}
	}
}
