/**
Compares the retries that a request is charged with the arrivals that targets count.
*/
import fc from 'fast-check';
import {test} from 'tap';
import {ArrivalCount} from '../../../source/decisions/entry/requests/arrival-count.js';
import {RetryJudge} from '../../support/retry-judge.js';

const attempt = fc.record({isPrefill: fc.boolean(), outcome: fc.constantFrom('accepted' as const, 'refused' as const, 'lost' as const)});

const run = (attempts: ReadonlyArray<{readonly isPrefill: boolean; readonly outcome: 'accepted' | 'refused' | 'lost'}>): {readonly charged: number; readonly counted: number} => {
	const arrivals = new ArrivalCount();
	const judge = new RetryJudge({share: 0.2, windowMilliseconds: 10_000, extra: 0});
	let charged = 0;
	for (const [index, {isPrefill, outcome}] of attempts.entries()) {
		const isCharged = arrivals.isBeyondFirst;
		charged += isCharged ? 1 : 0;
		arrivals.recordSent();
		// A prefill whose answer is lost may have been accepted or not.
		judge.arrive({
			service: 's', requestId: 'r1', isReading: isPrefill, isAccepted: outcome === 'accepted' || (outcome === 'lost' && index % 2 === 0),
		}, index);
		if (isPrefill && outcome === 'accepted' && arrivals.recordAcceptedPrefill() && isCharged) {
			charged--;
		}
	}

	return {charged, counted: judge.retries};
};

test('every arrival beyond the first is charged, repeated prefills included', t => {
	fc.assert(fc.property(fc.array(attempt, {maxLength: 8}), attempts => {
		const {charged, counted} = run(attempts);
		return charged >= counted;
	}), {seed: 19, numRuns: 5000});
	t.end();
});

test('when no answer is lost, the charges equal the count of the targets', t => {
	fc.assert(fc.property(fc.array(attempt.filter(({outcome}) => outcome !== 'lost'), {maxLength: 8}), attempts => {
		const {charged, counted} = run(attempts);
		return charged === counted;
	}), {seed: 20, numRuns: 5000});
	t.end();
});
