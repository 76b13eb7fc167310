/**
Which changes of learned figures are logged.
*/
import {test} from 'tap';
import {CapacityChanges} from '../../../source/decisions/capacity/capacity-changes.js';

// Guards against a log that is filled by a target that changes all the time, and against changes that nobody can see.
test('considerable changes are returned, those of one target at most every ten seconds', t => {
	const changes = new CapacityChanges();
	const take = (speed: number, limit: number | undefined, now: number) => changes.take([{incarnation: 'i-1 1', speed, limit}], now);
	t.strictSame(take(1.1, undefined, 0), []);
	t.match(take(0.6, undefined, 1000), [{before: {speed: 1}, after: {speed: 0.6}}]);
	t.strictSame(take(1, undefined, 2000), [], 'too soon');
	t.match(take(1, undefined, 11_000), [{before: {speed: 0.6}, after: {speed: 1}}]);
	t.match(take(1, 5, 30_000), [{before: {limit: undefined}, after: {limit: 5}}]);
	t.strictSame(take(1, 6, 60_000), []);
	t.match(take(1, undefined, 61_000), [{before: {limit: 5}, after: {limit: undefined}}]);
	t.strictSame(changes.take([], 62_000), []);
	t.match(take(0.6, undefined, 63_000), [{before: {speed: 1}}], 'a target that was gone is reported anew');
	t.end();
});
