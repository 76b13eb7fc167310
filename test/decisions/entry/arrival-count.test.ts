/**
What a request is charged, against what targets count of it.
*/
import fc from 'fast-check';
import {test} from 'tap';
import {ArrivalCount} from '../../../source/decisions/entry/arrival-count.js';
import {RetryJudge} from '../../support/retry-judge.js';

const attempt = fc.record({isReading: fc.boolean(), fate: fc.constantFrom('taken' as const, 'refused' as const, 'lost' as const)});

const play = (attempts: ReadonlyArray<{readonly isReading: boolean; readonly fate: 'taken' | 'refused' | 'lost'}>): {readonly charged: number; readonly counted: number} => {
	const arrivals = new ArrivalCount();
	const judge = new RetryJudge({share: 0.2, windowMilliseconds: 10_000, extra: 0});
	let charged = 0;
	for (const [at, {isReading, fate}] of attempts.entries()) {
		const isCharged = arrivals.isBeyondFirst;
		charged += isCharged ? 1 : 0;
		arrivals.sent();
		// A reading whose answer is lost may have been taken or not.
		judge.arrive({
			service: 's', requestId: 'r1', isReading, isAccepted: fate === 'taken' || (fate === 'lost' && at % 2 === 0),
		}, at);
		if (isReading && fate === 'taken' && arrivals.readingTaken() && isCharged) {
			charged--;
		}
	}

	return {charged, counted: judge.retries};
};

test('no arrival beyond the first goes uncharged, prompts that are read again included', t => {
	fc.assert(fc.property(fc.array(attempt, {maxLength: 8}), attempts => {
		const {charged, counted} = play(attempts);
		return charged >= counted;
	}), {seed: 19, numRuns: 5000});
	t.end();
});

test('where no answer is lost, what is charged is what targets count', t => {
	fc.assert(fc.property(fc.array(attempt.filter(({fate}) => fate !== 'lost'), {maxLength: 8}), attempts => {
		const {charged, counted} = play(attempts);
		return charged === counted;
	}), {seed: 20, numRuns: 5000});
	t.end();
});
