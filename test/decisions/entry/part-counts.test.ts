/**
The count is never below the events within the window, from the first moment on.
*/
import fc from 'fast-check';
import {test} from 'tap';
import {PartCounts} from '../../../source/decisions/entry/part-counts.js';

const windowMilliseconds = 10_000;
const partMilliseconds = 200;
const windowParts = windowMilliseconds / partMilliseconds;

/** Counts events in a window that slides part by part. */
const startWindow = (): {readonly add: (now: number) => void; readonly total: (now: number) => number} => {
	const counts = new PartCounts(windowParts + 1);
	const partOf = (now: number): number => Math.floor(now / partMilliseconds);
	return {
		add(now) {
			counts.add(partOf(now));
		},
		total: now => counts.between(partOf(now) - windowParts, partOf(now)),
	};
};

const countSince = (times: readonly number[], since: number): number => times.filter(time => time > since).length;

test('counts lie between the window and the window with one part more', async t => {
	fc.assert(fc.property(fc.array(fc.integer({min: 0, max: 3000}), {maxLength: 200}), gaps => {
		const count = startWindow();
		const times: number[] = [];
		let now = 0;
		for (const gap of gaps) {
			now += gap;
			times.push(now);
			count.add(now);
			const within = countSince(times, now - windowMilliseconds);
			const atMost = countSince(times, now - windowMilliseconds - (2 * partMilliseconds));
			const total = count.total(now);
			if (total < within || total > atMost) {
				return false;
			}
		}

		return true;
	}), {seed: 4, numRuns: 200});
	t.pass('200 runs');
});

test('a count that is long past is none', async t => {
	const count = startWindow();
	count.add(5);
	t.equal(count.total(9000), 1);
	t.equal(count.total(50_000), 0);
});

test('an event that is taken back no longer counts, and one whose part has fallen out changes nothing', async t => {
	const counts = new PartCounts(3);
	counts.add(7);
	counts.add(7);
	counts.remove(7);
	t.equal(counts.at(7), 1);
	counts.add(10);
	counts.remove(7);
	t.equal(counts.at(7), 0);
	t.equal(counts.at(10), 1);
});
