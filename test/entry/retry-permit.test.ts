/**
Reservation of the retry budget between a failed attempt and the first byte of the next one.
*/
import {test} from 'tap';
import {WindowedRetryBudget} from '../../source/decisions/entry/requests/windowed-retry-budget.js';
import {RetryPermit} from '../../source/entry/retry-permit.js';

const start = (requests: number) => {
	const budget = new WindowedRetryBudget({
		share: 0.2, windowMilliseconds: 10_000, extra: 56, isFirstStart: false,
	});
	let now = 20_000;
	const createPermit = (): RetryPermit => {
		const permit = new RetryPermit(budget, () => now);
		permit.tryStartAttempt();
		return permit;
	};

	for (let index = 0; index < requests; index++) {
		budget.recordRequest(index * 20_000 / requests);
	}

	return {
		budget,
		createPermit,
		wait(milliseconds: number) {
			now += milliseconds;
		},
		facts: () => budget.facts(now),
	};
};

test('requests that fail at the same time do not retry on the same room in the budget', t => {
	const {createPermit, facts} = start(100);
	const {room} = facts();
	const admitted = Array.from({length: 30}, () => createPermit()).filter(permit => {
		const mayRetry = permit.mayRetry();
		permit.hold();
		return mayRetry;
	});
	t.equal(admitted.length, room);
	t.ok(admitted.every(permit => permit.tryStartAttempt()), 'every admitted retry is sent');
	t.end();
});

test('room held for a request that ends without a retry is available to another', t => {
	const {createPermit} = start(0);
	const first = createPermit();
	first.hold();
	const second = createPermit();
	t.notOk(second.mayRetry());
	first.end();
	t.ok(second.mayRetry());
	t.end();
});

test('an outcome that arrives after the request has ended holds nothing', t => {
	const {createPermit, facts} = start(100);
	const permit = createPermit();
	permit.tryStartAttempt();
	permit.end();
	permit.recordAcceptedPrefill();
	permit.hold();
	t.equal(facts().held, 0);
	t.end();
});

test('a retry that has waited is not sent if the window no longer has room for it', t => {
	const {createPermit, wait} = start(100);
	const permits = Array.from({length: 5}, () => createPermit());
	for (const permit of permits) {
		permit.hold();
	}

	wait(30_000);
	const sent = permits.filter(permit => permit.tryStartAttempt());
	t.equal(sent.length, 1, 'the one retry that is carried over');
	t.end();
});

test('after the first arrival, each further attempt needs room in the budget', t => {
	const {createPermit} = start(0);
	const permit = createPermit();
	permit.hold();
	t.ok(permit.tryStartAttempt(), 'the initial retry of a process');
	t.notOk(permit.mayRetry());
	t.end();
});

test('a second separate prefill needs room for the prefill and for the decode attempt', t => {
	const {budget, facts} = start(100);
	const permit = new RetryPermit(budget, () => 20_000);
	t.ok(permit.mayPrefillSeparately());
	permit.tryStartAttempt();
	permit.recordAcceptedPrefill();
	permit.tryStartAttempt();
	const {room} = facts();
	t.ok(permit.mayPrefillSeparately(), 'the decode attempt was lost; there is room for both');
	t.equal(facts().held, 2);
	permit.end();
	t.match(facts(), {room, held: 0});
	const others = Array.from({length: room - 1}, () => {
		const other = new RetryPermit(budget, () => 20_000);
		other.tryStartAttempt();
		other.hold();
		return other;
	});
	t.equal(others.length, room - 1);
	t.notOk(permit.mayPrefillSeparately(), 'there is room for only one');
	t.end();
});

test('a refused prefill is the free first arrival, and the first accepted prefill is free too', t => {
	const {budget, facts} = start(100);
	const permit = new RetryPermit(budget, () => 20_000);
	const before = facts();
	permit.tryStartAttempt();
	t.match(facts(), {retries: 0});
	permit.hold();
	permit.tryStartAttempt();
	t.match(facts(), {retries: 1}, 'charged until the target has accepted it');
	permit.recordAcceptedPrefill();
	t.match(facts(), {retries: 0, held: 1}, 'held for the decode attempt');
	permit.tryStartAttempt();
	t.match(facts(), {retries: 1, held: 0});
	t.equal(facts().room, before.room - 1);
	t.end();
});
