/**
What happens after an attempt without an answer: correctness first, then the retry budget.
*/
import fc from 'fast-check';
import {test} from 'tap';
import {nextStep} from '../../../source/decisions/entry/requests/next-step.js';
import {retryAfter} from '../../../source/decisions/entry/requests/retry-after.js';

const attempts = fc.record({
	isRepeatable: fc.boolean(), mostAttempts: fc.integer({min: 1, max: 3}), ran: fc.integer({min: 0, max: 3}), refused: fc.integer({min: 0, max: 4}), unsent: fc.integer({min: 0, max: 7}), mayRetry: fc.boolean(), remainingMilliseconds: fc.integer({min: -10, max: 3000}),
});
const outcome = fc.constantFrom('not sent' as const, 'not run' as const, 'unknown' as const, 'failure' as const);

test('a request is refused as not run only if no attempt may have run, and a non-repeatable one that may have run is not sent again', async t => {
	fc.assert(fc.property(outcome, attempts, (kind, state) => {
		const ran = kind === 'unknown' || kind === 'failure' ? Math.max(1, state.ran) : state.ran;
		const step = nextStep(kind, {...state, ran});
		const isRefusalCorrect = step !== 'refuse' || ran === 0;
		const isRetrySafe = step !== 'again' || ran === 0 || state.isRepeatable;
		const isWithinAttempts = step !== 'again' || ran < state.mostAttempts;
		return isRefusalCorrect && isRetrySafe && isWithinAttempts;
	}), {seed: 5, numRuns: 2000});
	t.pass('2000 runs');
});

test('without retry budget nothing is sent again, even after an attempt that never left the gateway', async t => {
	fc.assert(fc.property(outcome, attempts, (kind, state) => nextStep(kind, {...state, mayRetry: false}) !== 'again'), {seed: 7, numRuns: 2000});
	t.pass('2000 runs');
});

test('the retry delay is at most a third of the remaining time of the caller', t => {
	t.equal(retryAfter({wantedMilliseconds: 9000, remainingMilliseconds: 3000, random: () => 0}), 1);
	t.equal(retryAfter({wantedMilliseconds: 400, remainingMilliseconds: 3000, random: () => 0}), 0.4);
	t.ok(retryAfter({wantedMilliseconds: 400, remainingMilliseconds: 3000, random: () => 1}) > 0.4, 'spread');
	t.end();
});
