/**
The count is never below the events within the window, from the first moment on.
*/
import fc from 'fast-check';
import {test} from 'tap';
import {SlidingCount} from '../../../source/decisions/entry/sliding-count.js';

const windowMilliseconds = 10_000;
const partMilliseconds = 200;

const countSince = (times: readonly number[], since: number): number => times.filter(time => time > since).length;

test('counts lie between the window and the window with one part more', async t => {
	fc.assert(fc.property(fc.array(fc.integer({min: 0, max: 3000}), {maxLength: 200}), gaps => {
		const count = new SlidingCount(windowMilliseconds);
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
	const count = new SlidingCount(windowMilliseconds);
	count.add(5);
	t.equal(count.total(9000), 1);
	t.equal(count.total(50_000), 0);
});
