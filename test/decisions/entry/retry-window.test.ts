/**
The retries of gateways that know nothing of each other.
*/
import fc from 'fast-check';
import * as option from 'fp-ts/lib/Option.js';
import {test} from 'tap';
import {RetryWindow} from '../../../source/decisions/entry/retry-window.js';
import {RetryJudge} from '../../support/retry-judge.js';

const window = {
	share: 0.2, windowMilliseconds: 10_000, extra: 56, isFirstStart: false,
};

/** Requests at one gateway each, some of them failing as often as they are sent; gateways start again in between. */
const events = fc.array(fc.record({
	gateway: fc.nat({max: 4}),
	gap: fc.oneof({weight: 9, arbitrary: fc.nat({max: 40})}, {weight: 1, arbitrary: fc.nat({max: 3000})}),
	wanted: fc.nat({max: 3}),
	restarts: fc.integer({min: 0, max: 99}),
}), {minLength: 400, maxLength: 1500});

const calmEvents = 200;

test('the sum of what gateways spend by their own requests keeps the rule, with one retry a process beside the share', async t => {
	fc.assert(fc.property(events, played => {
		const gateways = Array.from({length: 5}, () => new RetryWindow(window));
		// One retry beside the share for each process.
		const judge = new RetryJudge({...window, extra: 5 + played.filter(({restarts}) => restarts === 0).length});
		let now = 0;
		for (const [number, {gateway, gap, wanted, restarts}] of played.entries()) {
			now += gap;
			if (restarts === 0) {
				gateways[gateway] = new RetryWindow(window);
			}

			const own = gateways[gateway]!;
			own.request(now);
			const requestId = String(number);
			judge.request('s', now);
			const arrival = {
				service: 's', requestId, isReading: false, isAccepted: false,
			};
			judge.arrive(arrival, now);
			// What is not spent while all is well must not be saved for when it is not.
			const isCalm = Math.floor(number / calmEvents) % 2 === 0;
			const mostRetries = isCalm ? 0 : wanted;
			for (let retry = 0; retry < mostRetries && option.isSome(own.spend(now, false)); retry++) {
				judge.arrive(arrival, now);
			}
		}

		return judge.violations().length === 0;
	}), {seed: 19, numRuns: 60});
	t.pass('60 runs');
});

test('under a steady load nearly all of the share can be spent', t => {
	const own = new RetryWindow(window);
	let retries = 0;
	for (let now = 0; now < 60_000; now += 50) {
		own.request(now);
		const isSpent = option.isSome(own.spend(now, false));
		retries += isSpent && now >= 20_000 ? 1 : 0;
	}

	t.ok(retries >= 0.85 * window.share * 800, `${retries} of ${window.share * 800}`);
	t.end();
});

test('a gateway that has just started earns what it spends, and begins at once', t => {
	const own = new RetryWindow(window);
	t.equal(own.facts(0).room, 1);
	for (let now = 0; now < 2000; now += 20) {
		own.request(now);
	}

	const {room} = own.facts(2000);
	t.ok(room >= 5 && room <= 20, `${room} after 100 requests`);
	t.end();
});

test('a gateway with few requests may retry one after each five', t => {
	const own = new RetryWindow(window);
	const spent = Array.from({length: 12}, (_, index) => index * 11_000).filter(now => {
		own.request(now);
		return option.isSome(own.spend(now, false));
	});
	t.equal(spent.length, 3, 'the one that a process begins with, and two that ten of the twelve earn');
	t.end();
});

test('a gateway of a fleet that starts for the first time has three retries in its first window, one that starts later one', t => {
	const first = new RetryWindow({...window, isFirstStart: true});
	t.equal(first.facts(0).room, 3);
	first.request(0);
	t.equal(first.facts(9900).room, 3);
	t.equal(first.facts(10_100).room, 1, 'what was not needed then is not saved for later');
	t.equal(new RetryWindow(window).facts(0).room, 1);
	t.notOk(new RetryWindow({...window, extra: 0, isFirstStart: true}).allows(0), 'none where the rule has no fixed part');
	t.end();
});

test('a fifth of what a window may spend can be spent at once', t => {
	const own = new RetryWindow(window);
	for (let now = 0; now < 30_000; now += 50) {
		own.request(now);
	}

	const {room} = own.facts(30_000);
	t.ok(room >= 8 && room <= 41, `${room} at once, of 40 a window and one that is carried over`);
	t.end();
});
