/**
Room in the retry budget between the failure of an attempt and the next one's first byte.
*/
import {test} from 'tap';
import {WindowedRetryBudget} from '../../source/decisions/entry/windowed-retry-budget.js';
import {RetryPermit} from '../../source/entry/retry-permit.js';

const start = (requests: number) => {
	const window = new WindowedRetryBudget({
		share: 0.2, windowMilliseconds: 10_000, extra: 56, isFirstStart: false,
	});
	let now = 20_000;
	const permit = (): RetryPermit => {
		const request = new RetryPermit(window, () => now);
		request.mayArrive();
		return request;
	};

	for (let index = 0; index < requests; index++) {
		window.recordRequest(index * 20_000 / requests);
	}

	return {
		window,
		permit,
		wait(milliseconds: number) {
			now += milliseconds;
		},
		facts: () => window.facts(now),
	};
};

test('requests that fail together are not let through on the same room', t => {
	const {permit, facts} = start(100);
	const {room} = facts();
	const letThrough = Array.from({length: 30}, () => permit()).filter(request => {
		const mayRetry = request.mayRetry();
		request.hold();
		return mayRetry;
	});
	t.equal(letThrough.length, room);
	t.ok(letThrough.every(request => request.mayArrive()), 'what was let through is sent');
	t.end();
});

test('what is held for a request that ends without a retry serves another', t => {
	const {permit} = start(0);
	const first = permit();
	first.hold();
	const second = permit();
	t.notOk(second.mayRetry());
	first.end();
	t.ok(second.mayRetry());
	t.end();
});

test('an outcome that comes after the request has ended holds nothing', t => {
	const {permit, facts} = start(100);
	const request = permit();
	request.mayArrive();
	request.end();
	request.readingTaken();
	request.hold();
	t.equal(facts().held, 0);
	t.end();
});

test('a retry that waited is not sent once the window has no room for it', t => {
	const {permit, wait} = start(100);
	const requests = Array.from({length: 5}, () => permit());
	for (const request of requests) {
		request.hold();
	}

	wait(30_000);
	const sent = requests.filter(request => request.mayArrive());
	t.equal(sent.length, 1, 'the one that is carried over');
	t.end();
});

test('once something has arrived, each further attempt is asked for', t => {
	const {permit} = start(0);
	const request = permit();
	request.hold();
	t.ok(request.mayArrive(), 'the retry that a process begins with');
	t.notOk(request.mayRetry());
	t.end();
});

test('a prompt is read apart again only if there is room for the reading and for its run', t => {
	const {window, facts} = start(100);
	const request = new RetryPermit(window, () => 20_000);
	t.ok(request.mayReadApart());
	request.mayArrive();
	request.readingTaken();
	request.mayArrive();
	const {room} = facts();
	t.ok(request.mayReadApart(), 'its run was lost; there is room for both');
	t.equal(facts().held, 2);
	request.end();
	t.match(facts(), {room, held: 0});
	const others = Array.from({length: room - 1}, () => {
		const other = new RetryPermit(window, () => 20_000);
		other.mayArrive();
		other.hold();
		return other;
	});
	t.equal(others.length, room - 1);
	t.notOk(request.mayReadApart(), 'room for one only');
	t.end();
});

test('a first reading that was refused is the first arrival, the next that is taken is free', t => {
	const {window, facts} = start(100);
	const request = new RetryPermit(window, () => 20_000);
	const before = facts();
	request.mayArrive();
	t.match(facts(), {retries: 0});
	request.hold();
	request.mayArrive();
	t.match(facts(), {retries: 1}, 'charged until it is known to be taken');
	request.readingTaken();
	t.match(facts(), {retries: 0, held: 1}, 'held for the run');
	request.mayArrive();
	t.match(facts(), {retries: 1, held: 0});
	t.equal(facts().room, before.room - 1);
	t.end();
});
