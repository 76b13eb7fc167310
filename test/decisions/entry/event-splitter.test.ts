/**
Splits a byte stream into complete events, wherever its chunks begin and end.
*/
import {Buffer} from 'node:buffer';
import fc from 'fast-check';
import {test} from 'tap';
import {EventSplitter} from '../../../source/decisions/entry/event-splitter.js';

test('the events and the rest are the bytes pushed, for any chunk boundaries', async t => {
	const text = 'id: 1\ndata: a\n\nid: 2\r\ndata: \u00FF\u0080\r\n\r\nid: 30\ndata: b\n\nid: 4\nda';
	const bytes = Buffer.from(text, 'latin1');
	fc.assert(fc.property(fc.array(fc.integer({min: 0, max: bytes.length}), {maxLength: 10}), cuts => {
		const splitter = new EventSplitter();
		const boundaries = [0, ...cuts.toSorted((first, second) => first - second), bytes.length];
		const splits = boundaries.slice(1).map((boundary, index) => splitter.push(bytes.subarray(boundaries[index], boundary)));
		const events = splits.flatMap(split => [...split.events]);
		const lastId = splits.map(split => split.lastId).findLast(id => id !== undefined);
		return events.length === 3 && lastId === '30' && Buffer.concat([...events, splitter.rest]).equals(bytes);
	}), {seed: 8, numRuns: 500});
	t.pass('500 runs');
});
