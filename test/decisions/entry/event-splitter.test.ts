/**
Splits a byte stream into complete events, wherever its chunks begin and end.
*/
import {Buffer} from 'node:buffer';
import fc from 'fast-check';
import {test} from 'tap';
import {EventSplitter} from '../../../source/decisions/entry/answers/event-splitter.js';

test('the events and the rest are the bytes pushed, for any chunk boundaries', async t => {
	const text = 'id: 1\ndata: a\n\nid: 2\r\ndata: \u00FF\u0080\r\n\r\nid: 30\ndata: b\n\nid: 4\nda';
	const bytes = Buffer.from(text, 'latin1');
	const wholeEvents = bytes.subarray(0, text.indexOf('id: 4'));
	fc.assert(fc.property(fc.array(fc.integer({min: 0, max: bytes.length}), {maxLength: 10}), cuts => {
		const splitter = new EventSplitter();
		const boundaries = [0, ...cuts.toSorted((first, second) => first - second), bytes.length];
		const splits = boundaries.slice(1).map((boundary, index) => splitter.push(bytes.subarray(boundaries[index], boundary)));
		const lastId = splits.map(split => split.lastId).findLast(id => id !== undefined);
		const passedOn = Buffer.concat(splits.map(split => split.events));
		return lastId === '30' && passedOn.length + splitter.heldBytes === bytes.length && passedOn.equals(wholeEvents) && !splitter.mayEnd(true);
	}), {seed: 8, numRuns: 500});
	t.pass('500 runs');
});

/** Calls `act`, and returns how many bytes it has copied or searched. */
const countWork = (act: () => void): number => {
	const {set, indexOf} = Uint8Array.prototype;
	let bytes = 0;
	Uint8Array.prototype.set = function (array, offset) { // eslint-disable-line no-extend-native
		bytes += array.length;
		set.call(this, array, offset);
	};

	Uint8Array.prototype.indexOf = function (element, from = 0) { // eslint-disable-line no-extend-native
		const index = indexOf.call(this, element, from);
		bytes += (index === -1 ? this.length : index + 1) - from;
		return index;
	};

	try {
		act();
	} finally {
		Uint8Array.prototype.set = set; // eslint-disable-line no-extend-native
		Uint8Array.prototype.indexOf = indexOf; // eslint-disable-line no-extend-native
	}

	return bytes;
};

// Guards against work that grows with the square of an event's bytes, for which the whole process stood still.
test('CONFIG: each byte of an event without end is searched and copied a bounded number of times', t => {
	const chunk = Buffer.alloc(1024, 'x');
	const chunks = 1024;
	const splitter = new EventSplitter();
	const work = countWork(() => {
		for (let index = 0; index < chunks; index++) {
			splitter.push(chunk);
		}

		splitter.push(Buffer.from('\n\n'));
	});
	t.ok(work <= 3 * chunks * chunk.length, `${work} bytes`);
	t.ok(splitter.mayEnd(false));
	t.end();
});

// Guards against an object for each event or piece, which took all memory when they were of one byte.
test('LOST: finely cut bytes are joined to one piece for each chunk, and held in a buffer of at most twice their length', t => {
	const text = '\n\n:\n\nid: 1\ndata:x\n\n'.repeat(3000);
	const splitter = new EventSplitter();
	const {events, lastId} = splitter.push(Buffer.from(text));
	t.equal(Buffer.from(events).toString(), text);
	t.equal(lastId, '1');
	for (let count = 0; count < 100_000; count++) {
		splitter.push(Buffer.from('x'));
	}

	t.equal(splitter.heldBytes, 100_000);
	t.ok(splitter.heldCapacity <= 200_000);
	t.end();
});

test('the id is that of the last event that has one, also when its line began in an earlier chunk', t => {
	const splitter = new EventSplitter();
	t.equal(splitter.push(Buffer.from('id: 1\ndata: id: 7\n\n: nothing\n\nxid: 8\n\ni')).lastId, '1');
	t.equal(splitter.push(Buffer.from('d:2 \r\n\r\ndata: a\n\n')).lastId, '2 ');
	t.equal(splitter.push(Buffer.from('data: id:\n\n')).lastId, undefined);
	t.end();
});

// Guards against passing on, as one more event, the head of an error that an engine writes into its stream.
test('MIXED: nothing from the head of another answer on is an event, wherever the chunks begin and end', async t => {
	const whole = 'data: HTTP/1.1 200 OK\n\nid: 1\ndata: a\n\n';
	const bytes = Buffer.from(`${whole}id: 2\nHTTP/1.1 500 Internal Server Error\r\n\r\nfailed\n\nid: 3\n\n`);
	fc.assert(fc.property(fc.array(fc.integer({min: 0, max: bytes.length}), {maxLength: 6}), cuts => {
		const splitter = new EventSplitter();
		const boundaries = [0, ...cuts.toSorted((first, second) => first - second), bytes.length];
		const splits = boundaries.slice(1).map((boundary, index) => splitter.push(bytes.subarray(boundaries[index], boundary)));
		const passedOn = Buffer.concat(splits.map(split => split.events)).toString();
		return passedOn === whole && !splitter.mayEnd(true) && splitter.heldBytes === 0;
	}), {seed: 9, numRuns: 300});
	t.pass('300 runs');
});
