/**
When refused callers come back, and how they are recognized.
*/
import {test} from 'tap';
import {retryAfter} from '../../../source/decisions/entry/requests/retry-after.js';
import {RefusedRequests} from '../../../source/decisions/fairness/refused-requests.js';
import {reportRows} from '../../../source/decisions/fairness/report-rows.js';
import {ReturnSchedule} from '../../../source/decisions/fairness/return-schedule.js';
import {UnreportedUsage} from '../../../source/decisions/fairness/unreported-usage.js';

test('callers that are refused together come back one after the other, in the order in which they were refused', t => {
	const schedule = new ReturnSchedule();
	const delays = Array.from({length: 50}, () => schedule.delay({waitMilliseconds: 400, workMilliseconds: 30}, 1000));
	t.equal(delays[0], 400);
	t.ok(delays.every((delay, index) => index === 0 || delay === delays[index - 1]! + 30));
	t.equal(schedule.delay({waitMilliseconds: 400, workMilliseconds: 30}, 60_000), 400, 'the schedule of a burst long past does not count');
	t.end();
});

test('the limit of Retry-After does not bring callers back together: a later one still comes later', t => {
	const seconds = Array.from({length: 60}, (_, index) => retryAfter({
		wantedMilliseconds: 300 + (index * 40), remainingMilliseconds: 3000, isSpread: true, random: () => 0.9,
	}));
	t.ok(seconds.every((each, index) => index === 0 || each > seconds[index - 1]!));
	t.ok(seconds.every(each => each <= 1), 'at most a third of the time that the caller has left');
	t.equal(seconds[0], 0.3, 'without jitter, which would mix up their order');
	t.end();
});

test('a request is remembered as refused for ten seconds, and the number of those remembered is bounded', t => {
	const refused = new RefusedRequests();
	refused.record('9c41', 0);
	t.ok(refused.isReturning('9c41', 9000));
	t.notOk(refused.isReturning('9c41', 11_000));
	t.notOk(refused.isReturning('9c42', 0));
	for (let index = 0; index < 20_000; index++) {
		refused.record(`r${index}`, 1);
	}

	t.notOk(refused.isReturning('9c41', 1), 'the oldest were forgotten');
	t.ok(refused.isReturning('r19999', 1));
	t.ok(refused.takeUnreported(100_000).length <= 256);
	t.strictSame(refused.takeUnreported(10), [], 'each is reported once');
	t.end();
});

test('a report has the teams that used most, and the rest follows later', t => {
	const usage = new UnreportedUsage();
	usage.add('pier', 20.4);
	usage.add('harbour', 90);
	usage.add('harbour', 4);
	usage.add('buoy', 0.2);
	t.strictSame(usage.take(1), {teams: ['harbour'], milliseconds: [94]});
	t.strictSame(usage.take(5), {teams: ['pier'], milliseconds: [20]});
	t.end();
});

test('what a gateway reports to all peers together stays within a third of the bytes for control as gateways are added', t => {
	for (const gateways of [1, 5, 22, 29, 37, 38, 100, 200, 370]) {
		const {teams, refused, intervalMilliseconds} = reportRows(gateways);
		t.ok(teams >= 1 && refused >= 1);
		const bytesPerSecond = (60 + (18 * teams) + (5 * refused)) * (gateways - 1) * 1000 / intervalMilliseconds;
		t.ok(bytesPerSecond < 6500, `${gateways} gateways: ${bytesPerSecond} bytes per second`);
	}

	t.end();
});
