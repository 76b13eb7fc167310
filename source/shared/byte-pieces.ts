/**
Collects the bytes of a body without copying what arrives in large pieces.

Pieces may be as small as one byte, so small ones are copied into blocks and none of them is kept as
an object of its own. A body whose length is known is copied into one block of that length, because
joining its pieces at the end would take its memory twice.
*/
import {Buffer} from 'node:buffer';

/** Pieces of at least this size are kept as they are. */
const largeBytes = 4096;
const firstBlockBytes = 1024;
const maxBlockBytes = 65_536;
/** Range of lengths for which one block is allocated: shorter bodies mostly come in one piece, and what is announced to be longer may never come. */
const knownLength = {min: 65_536, max: 4_194_304} as const;

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
	readonly #knownBytes: number | undefined;

	/** `expectedBytes` is the length of the whole body, if it is known. */
	constructor(expectedBytes?: number) {
		this.#knownBytes = expectedBytes !== undefined && expectedBytes >= knownLength.min && expectedBytes <= knownLength.max ? expectedBytes : undefined;
	}

	get length(): number {
		return this.#length;
	}

	/** Bytes of memory that it uses. */
	get capacity(): number {
		return this.#capacity;
	}

	/** Takes a piece, which must not change afterwards. */
	append(piece: Uint8Array): void {
		if (this.#knownBytes !== undefined && this.#length === 0 && piece.length < this.#knownBytes) {
			this.#openBlock(this.#knownBytes);
		}

		if (this.#fitsKnownBlock(piece)) {
			this.#copy(piece);
		// The first piece is mostly the whole body.
		} else if (piece.length >= largeBytes || this.#length === 0) {
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

	#fitsKnownBlock(piece: Uint8Array): boolean {
		return this.#knownBytes !== undefined && this.#block !== undefined && this.#blockLength + piece.length <= this.#block.length;
	}

	#copy(piece: Uint8Array): void {
		if (this.#block !== undefined && this.#blockLength + piece.length > this.#block.length) {
			this.#closeBlock();
		}

		if (this.#block === undefined) {
			this.#openBlock(Math.max(piece.length, Math.min(maxBlockBytes, Math.max(firstBlockBytes, this.#length))));
		}

		this.#block!.set(piece, this.#blockLength);
		this.#blockLength += piece.length;
	}

	#openBlock(bytes: number): void {
		this.#block = new Uint8Array(bytes);
		this.#blockLength = 0;
		this.#capacity += bytes;
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
