/**
Bodies in pieces of any size.
*/
import {Buffer} from 'node:buffer';
import process from 'node:process';
import fc from 'fast-check';
import {test} from 'tap';
import {BytePieces} from '../../source/shared/byte-pieces.js';

const seed = Number(process.env.SEED ?? 43);
const numberRuns = Number(process.env.RUNS ?? 200);

test('the bytes come out as they came in, and take little more memory than they are', t => {
	fc.assert(fc.property(fc.array(fc.oneof(fc.constant(1), fc.integer({min: 0, max: 6000}), fc.constant(65_536)), {maxLength: 40}), lengths => {
		const pieces = new BytePieces();
		const given = lengths.map((length, index) => Buffer.alloc(length, index));
		for (const piece of given) {
			pieces.append(piece);
		}

		const {length, capacity} = pieces;
		const whole = Buffer.concat(given);
		return length === whole.length && capacity >= length && capacity <= length + 65_536 && Buffer.compare(pieces.take(), whole) === 0 && pieces.length === 0 && pieces.capacity === 0;
	}), {seed, numRuns: numberRuns});
	t.pass();
	t.end();
});

// Guards against pieces of one byte between large ones that keep a block each.
test('LOST: small pieces between large ones do not multiply the memory', t => {
	const pieces = new BytePieces();
	for (let index = 0; index < 500; index++) {
		pieces.append(Buffer.alloc(4096));
		pieces.append(Buffer.alloc(1));
	}

	t.ok(pieces.capacity <= pieces.length + 65_536, `${pieces.capacity} bytes`);
	t.end();
});

// Guards against a body whose memory is taken twice while its pieces are joined, and against one that brings more or less than was announced.
test('a body of a known length takes its length of memory, whatever it brings', t => {
	fc.assert(fc.property(fc.integer({min: 65_536, max: 300_000}), fc.array(fc.integer({min: 1, max: 65_536}), {minLength: 1, maxLength: 8}), (expected, lengths) => {
		const pieces = new BytePieces(expected);
		const given = lengths.map((length, index) => Buffer.alloc(length, index));
		for (const piece of given) {
			pieces.append(piece);
		}

		const whole = Buffer.concat(given);
		const bound = Math.max(expected, whole.length) + 65_536;
		return pieces.capacity <= bound && pieces.length === whole.length && Buffer.compare(pieces.take(), whole) === 0;
	}), {seed, numRuns: numberRuns});
	t.pass();
	t.end();
});

test('a length that is announced beyond all bounds allocates nothing', t => {
	const pieces = new BytePieces(Number.MAX_SAFE_INTEGER);
	pieces.append(Buffer.alloc(10));
	t.ok(pieces.capacity < 65_536);
	t.end();
});
