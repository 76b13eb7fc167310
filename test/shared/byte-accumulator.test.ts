/**
Bytes that are joined, whatever their pieces.
*/
import {Buffer} from 'node:buffer';
import fc from 'fast-check';
import {test} from 'tap';
import {ByteAccumulator} from '../../source/shared/byte-accumulator.js';

test('what is taken is what was appended, in a buffer of at most twice its length', async t => {
	fc.assert(fc.property(fc.array(fc.uint8Array({maxLength: 40}), {maxLength: 60}), pieces => {
		const accumulator = new ByteAccumulator();
		for (const piece of pieces) {
			const reused = Uint8Array.from(piece);
			accumulator.append(reused);
			reused.fill(0);
		}

		const whole = Buffer.concat(pieces);
		const isBounded = accumulator.capacity <= whole.length * 2 && accumulator.length === whole.length;
		return isBounded && whole.equals(accumulator.take()) && accumulator.length === 0 && accumulator.capacity === 0;
	}), {seed: 5, numRuns: 300});
	t.pass('300 runs');
});
