/**
Bytes are cut into whole events however they arrive.
*/
import {Buffer} from 'node:buffer';
import fc from 'fast-check';
import {test} from 'tap';
import {EventSplitter} from '../../../source/decisions/entry/event-splitter.js';

test('events and the rest are the bytes taken in, wherever they are cut', async t => {
	const text = 'id: 1\ndata: a\n\nid: 2\r\ndata: \u00FF\u0080\r\n\r\nid: 30\ndata: b\n\nid: 4\nda';
	const bytes = Buffer.from(text, 'latin1');
	fc.assert(fc.property(fc.array(fc.integer({min: 0, max: bytes.length}), {maxLength: 10}), cuts => {
		const splitter = new EventSplitter();
		const places = [0, ...cuts.toSorted((first, second) => first - second), bytes.length];
		const splits = places.slice(1).map((place, index) => splitter.push(bytes.subarray(places[index], place)));
		const events = splits.flatMap(split => [...split.events]);
		const lastId = splits.map(split => split.lastId).findLast(id => id !== undefined);
		return events.length === 3 && lastId === '30' && Buffer.concat([...events, splitter.rest]).equals(bytes);
	}), {seed: 8, numRuns: 500});
	t.pass('500 runs');
});
