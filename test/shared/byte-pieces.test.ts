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
