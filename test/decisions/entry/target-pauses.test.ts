/**
Pauses that targets ask for, while all targets of a service are full.
*/
import fc from 'fast-check';
import {test} from 'tap';
import {TargetPauses} from '../../../source/decisions/entry/targets/target-pauses.js';

test('a target that asked for a pause is paused until its end, and a shorter pause does not shorten it', t => {
	const pauses = new TargetPauses();
	t.equal(pauses.record('a 1', 2000, 0), true);
	t.equal(pauses.record('a 1', 500, 100), false, 'an answer to a request that was under way');
	t.equal(pauses.isPaused('a 1', 1999), true);
	t.equal(pauses.isPaused('a 1', 2000), false);
	t.equal(pauses.isPaused('a 2', 100), false, 'a new incarnation has no pause');
	t.end();
});

test('BUDGET: in a burst at full targets, each gets at most the requests that were under way when it first asked for a pause', t => {
	fc.assert(fc.property(fc.array(fc.record({gap: fc.integer({min: 0, max: 40}), pause: fc.integer({min: 1, max: 4000})}), {minLength: 1, maxLength: 200}), arrivals => {
		const pauses = new TargetPauses();
		const answerMilliseconds = 30;
		const underWay: Array<{readonly at: number; readonly pause: number}> = [];
		let now = 0;
		let pausedUntil = 0;
		let pausedSince = 0;
		for (const {gap, pause} of arrivals) {
			now += gap;
			while (underWay.length > 0 && underWay[0]!.at <= now) {
				const answer = underWay.shift()!;
				pausedSince = answer.at >= pausedUntil ? answer.at : pausedSince;
				pausedUntil = Math.max(pausedUntil, answer.at + answer.pause);
				pauses.record('a 1', answer.pause, answer.at);
			}

			if (!pauses.isPaused('a 1', now)) {
				const isDuringPause = now > pausedSince + answerMilliseconds && now < pausedUntil;
				if (isDuringPause) {
					return false;
				}

				underWay.push({at: now + answerMilliseconds, pause});
			}
		}

		return true;
	}), {seed: 25, numRuns: 300});
	t.end();
});

test('the shortest pause is the time until one of the targets may get work again', t => {
	const pauses = new TargetPauses();
	pauses.record('a 1', 3000, 0);
	pauses.record('b 1', 1200, 0);
	t.equal(pauses.shortest(['a 1', 'b 1'], 200), 1000);
	t.equal(pauses.shortest(['a 1', 'c 1'], 200), 0);
	t.equal(pauses.shortest([], 200), 0);
	t.end();
});

test('an absurd pause is bounded, and none that is not a time counts', t => {
	const pauses = new TargetPauses();
	pauses.record('a 1', 1e12, 0);
	t.equal(pauses.isPaused('a 1', 300_000), false);
	t.equal(pauses.record('b 1', Number.NaN, 0), false);
	t.equal(pauses.record('b 1', -5, 0), false);
	pauses.keepOnly(new Set(['b 1']));
	t.equal(pauses.isPaused('a 1', 10), false, 'forgotten with its target');
	t.end();
});
