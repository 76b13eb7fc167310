/**
The sum over a sliding window is never below the number of events in that window, from the first event on.
*/
import fc from 'fast-check';
import {test} from 'tap';
import {BucketCounts} from '../../../source/decisions/entry/requests/bucket-counts.js';

const windowMilliseconds = 10_000;
const bucketMilliseconds = 200;
const windowBuckets = windowMilliseconds / bucketMilliseconds;

/** Counts events in a window that slides bucket by bucket. */
const startWindow = (): {readonly add: (now: number) => void; readonly total: (now: number) => number} => {
	const counts = new BucketCounts(windowBuckets + 1);
	const bucketAt = (now: number): number => Math.floor(now / bucketMilliseconds);
	return {
		add(now) {
			counts.add(bucketAt(now));
		},
		total: now => counts.between(bucketAt(now) - windowBuckets, bucketAt(now)),
	};
};

const countSince = (times: readonly number[], since: number): number => times.filter(time => time > since).length;

test('the sum lies between the events of the window and those of a window two buckets longer', async t => {
	fc.assert(fc.property(fc.array(fc.integer({min: 0, max: 3000}), {maxLength: 200}), gaps => {
		const count = startWindow();
		const times: number[] = [];
		let now = 0;
		for (const gap of gaps) {
			now += gap;
			times.push(now);
			count.add(now);
			const within = countSince(times, now - windowMilliseconds);
			const atMost = countSince(times, now - windowMilliseconds - (2 * bucketMilliseconds));
			const total = count.total(now);
			if (total < within || total > atMost) {
				return false;
			}
		}

		return true;
	}), {seed: 4, numRuns: 200});
	t.pass('200 runs');
});

test('events that left the window long ago are not counted', async t => {
	const count = startWindow();
	count.add(5);
	t.equal(count.total(9000), 1);
	t.equal(count.total(50_000), 0);
});

test('a removed event no longer counts, and removing one from an overwritten bucket changes nothing', async t => {
	const counts = new BucketCounts(3);
	counts.add(7);
	counts.add(7);
	counts.remove(7);
	t.equal(counts.at(7), 1);
	counts.add(10);
	counts.remove(7);
	t.equal(counts.at(7), 0);
	t.equal(counts.at(10), 1);
});
