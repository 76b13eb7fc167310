/**
What follows an attempt: truth first, then the budget.
*/
import fc from 'fast-check';
import {test} from 'tap';
import {nextStep} from '../../../source/decisions/entry/next-step.js';
import {retryAfter} from '../../../source/decisions/entry/retry-after.js';

const attempts = fc.record({
	isRepeatable: fc.boolean(), mostAttempts: fc.integer({min: 1, max: 3}), ran: fc.integer({min: 0, max: 3}), refused: fc.integer({min: 0, max: 4}), unsent: fc.integer({min: 0, max: 7}), mayRetry: fc.boolean(), remainingMilliseconds: fc.integer({min: -10, max: 3000}),
});
const outcome = fc.constantFrom('not sent' as const, 'not run' as const, 'unknown' as const, 'failure' as const);

test('"not run" is said only when nothing may have run, and nothing that may not be repeated is sent twice', async t => {
	fc.assert(fc.property(outcome, attempts, (kind, state) => {
		const ran = kind === 'unknown' || kind === 'failure' ? Math.max(1, state.ran) : state.ran;
		const step = nextStep(kind, {...state, ran});
		const isTrue = step !== 'refuse' || ran === 0;
		const isOnce = step !== 'again' || ran === 0 || state.isRepeatable;
		const isBounded = step !== 'again' || ran < state.mostAttempts;
		return isTrue && isOnce && isBounded;
	}), {seed: 5, numRuns: 2000});
	t.pass('2000 runs');
});

test('nothing is sent again without room in the budget, not even after an attempt that never left', async t => {
	fc.assert(fc.property(outcome, attempts, (kind, state) => nextStep(kind, {...state, mayRetry: false}) !== 'again'), {seed: 7, numRuns: 2000});
	t.pass('2000 runs');
});

test('a caller is never told to wait longer than a third of the time that it has', t => {
	t.equal(retryAfter({wantedMilliseconds: 9000, remainingMilliseconds: 3000, random: () => 0}), 1);
	t.equal(retryAfter({wantedMilliseconds: 400, remainingMilliseconds: 3000, random: () => 0}), 0.4);
	t.ok(retryAfter({wantedMilliseconds: 400, remainingMilliseconds: 3000, random: () => 1}) > 0.4, 'spread');
	t.end();
});
