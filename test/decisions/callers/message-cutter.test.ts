/**
Requests that are sent one after the other, cut anywhere on the way.
*/
import {Buffer} from 'node:buffer';
import process from 'node:process';
import fc from 'fast-check';
import {test} from 'tap';
import {MessageCutter} from '../../../source/decisions/callers/message-cutter.js';

const seed = Number(process.env.SEED ?? 41);
const numberRuns = Number(process.env.RUNS ?? 300);

/** Cuts what arrives in these pieces. */
const cut = (pieces: readonly string[]): readonly string[] => {
	const cutter = new MessageCutter();
	return pieces.flatMap(text => {
		const bytes = Buffer.from(text, 'latin1');
		const parts: string[] = [];
		for (let start = 0; start < bytes.length;) {
			const end = cutter.next(bytes, start);
			parts.push(bytes.toString('latin1', start, end));
			start = end;
		}

		return parts;
	});
};

const requests = ['GET /1 HTTP/1.1\r\nHost: a\r\n\r\n', 'POST /2 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n', 'POST /3 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n\n\n\r\n0\r\na: b\r\n\r\n'] as const;

// Guards against two requests that reach the parser together because they were cut in the middle of an empty line.
test('no part has bytes of two requests, wherever the bytes are cut on the way', t => {
	fc.assert(fc.property(fc.array(fc.constantFrom(...requests), {minLength: 1, maxLength: 6}), fc.array(fc.nat(300)), (sent, places) => {
		const text = sent.join('');
		const ends = sent.map((_, index) => sent.slice(0, index + 1).join('').length);
		const cuts = [...new Set([0, ...places.map(place => Math.min(place, text.length)), text.length])].toSorted((one, other) => one - other);
		const parts = cut(cuts.slice(1).map((place, index) => text.slice(cuts[index], place)));
		let position = 0;
		return parts.join('') === text && parts.every(part => {
			const start = position;
			position += part.length;
			return !ends.some(end => start < end && end < position);
		});
	}), {seed, numRuns: numberRuns});
	t.pass();
	t.end();
});

test('line feeds alone end a line too, and a part is at most as long as asked for', t => {
	t.strictSame(cut(['a\n\nb\r\n', '\r\nc']), ['a\n\n', 'b\r\n', '\r\n', 'c']);
	t.equal(new MessageCutter().next(Buffer.alloc(100, 'x'), 10, 20), 30);
	const cutter = new MessageCutter();
	cutter.next(Buffer.from('a\r\n'), 0);
	cutter.reset();
	t.equal(cutter.next(Buffer.from('\r\nb'), 0), 3);
	t.end();
});
