/**
The retry budgets of gateways that do not coordinate, against the fleet-wide limit.
*/
import fc from 'fast-check';
import * as option from 'fp-ts/lib/Option.js';
import {test} from 'tap';
import {WindowedRetryBudget} from '../../../source/decisions/entry/requests/windowed-retry-budget.js';
import {RetryJudge} from '../../support/retry-judge.js';

const bounds = {
	share: 0.2, windowMilliseconds: 10_000, extra: 56, isFirstStart: false,
};

/** Requests, each at one gateway with the retries that it wants; now and then a gateway restarts. */
const events = fc.array(fc.record({
	gateway: fc.nat({max: 4}),
	gap: fc.oneof({weight: 9, arbitrary: fc.nat({max: 40})}, {weight: 1, arbitrary: fc.nat({max: 3000})}),
	wanted: fc.nat({max: 3}),
	restarts: fc.integer({min: 0, max: 99}),
}), {minLength: 400, maxLength: 1500});

const periodEvents = 200;

test('the retries of all gateways together stay within the limit, with one retry a process beyond the share', async t => {
	fc.assert(fc.property(events, sequence => {
		const budgets = Array.from({length: 5}, () => new WindowedRetryBudget(bounds));
		// One retry beyond the share for each process.
		const judge = new RetryJudge({...bounds, extra: 5 + sequence.filter(({restarts}) => restarts === 0).length});
		let now = 0;
		for (const [number, {gateway, gap, wanted, restarts}] of sequence.entries()) {
			now += gap;
			if (restarts === 0) {
				budgets[gateway] = new WindowedRetryBudget(bounds);
			}

			const budget = budgets[gateway]!;
			budget.recordRequest(now);
			const requestId = String(number);
			judge.request('s', now);
			const arrival = {
				service: 's', requestId, isReading: false, isAccepted: false,
			};
			judge.arrive(arrival, now);
			// A budget that is unused in calm periods must not be saved for failing ones.
			const isCalm = Math.floor(number / periodEvents) % 2 === 0;
			const maxRetries = isCalm ? 0 : wanted;
			for (let retry = 0; retry < maxRetries && option.isSome(budget.spend(now, false)); retry++) {
				judge.arrive(arrival, now);
			}
		}

		return judge.violations().length === 0;
	}), {seed: 19, numRuns: 60});
	t.pass('60 runs');
});

test('under a steady load nearly the whole share can be spent', t => {
	const budget = new WindowedRetryBudget(bounds);
	let retries = 0;
	for (let now = 0; now < 60_000; now += 50) {
		budget.recordRequest(now);
		const isSpent = option.isSome(budget.spend(now, false));
		retries += isSpent && now >= 20_000 ? 1 : 0;
	}

	t.ok(retries >= 0.85 * bounds.share * 800, `${retries} of ${bounds.share * 800}`);
	t.end();
});

test('a gateway that has just started can retry at once and earns the rest from its requests', t => {
	const budget = new WindowedRetryBudget(bounds);
	t.equal(budget.facts(0).room, 1);
	for (let now = 0; now < 2000; now += 20) {
		budget.recordRequest(now);
	}

	const {room} = budget.facts(2000);
	t.ok(room >= 5 && room <= 20, `${room} after 100 requests`);
	t.end();
});

test('a gateway with few requests may retry once for every five', t => {
	const budget = new WindowedRetryBudget(bounds);
	const spent = Array.from({length: 12}, (_, index) => index * 11_000).filter(now => {
		budget.recordRequest(now);
		return option.isSome(budget.spend(now, false));
	});
	t.equal(spent.length, 3, 'the initial one of the process, and two earned by ten of the twelve requests');
	t.end();
});

test('a gateway has three retries in its first window when the fleet starts for the first time, and one otherwise', t => {
	const firstStart = new WindowedRetryBudget({...bounds, isFirstStart: true});
	t.equal(firstStart.facts(0).room, 3);
	firstStart.recordRequest(0);
	t.equal(firstStart.facts(9900).room, 3);
	t.equal(firstStart.facts(10_100).room, 1, 'first-start retries expire with the first window');
	t.equal(new WindowedRetryBudget(bounds).facts(0).room, 1);
	t.notOk(new WindowedRetryBudget({...bounds, extra: 0, isFirstStart: true}).allowsRetry(0), 'none when the limit has no fixed number');
	t.end();
});

test('a fifth of the budget of a window can be spent at once', t => {
	const budget = new WindowedRetryBudget(bounds);
	for (let now = 0; now < 30_000; now += 50) {
		budget.recordRequest(now);
	}

	const {room} = budget.facts(30_000);
	t.ok(room >= 8 && room <= 41, `${room} at once, of 40 in a window and one that is carried over`);
	t.end();
});
