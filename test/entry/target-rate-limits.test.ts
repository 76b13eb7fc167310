/**
What one gateway makes of the rate limits of its targets, and of what others tell and ask it.
*/
import type {Logger} from 'roarr';
import {test} from 'tap';
import {EntryMetrics} from '../../source/entry/entry-metrics.js';
import {TargetRateLimits} from '../../source/entry/target-rate-limits.js';
import type {TargetRecord} from '../../source/fleet/target-record.js';
import type {PeerMessage} from '../../source/generated/peer-messages.js';
import {VirtualTime} from '../support/virtual-time.js';

const target: TargetRecord = {
	id: 'i-1', incarnation: 'i-1 1', bornAt: 1, service: 'floor', address: '10.0.0.9:80', availabilityZone: 'a', isDraining: false, slots: 8, role: undefined,
};
const other = {...target, id: 'i-2', incarnation: 'i-2 1'};
const peer = 'gateway-2';
/** After this time, a process may issue permits. */
const settledMilliseconds = 3500;

const named = (requestsPerSecond: number) => ({kind: 'named', requestsPerSecond}) as const;

/** A gateway that is linked to a peer, or to none. */
const start = (hasPeer: boolean) => {
	const time = new VirtualTime();
	const sent: PeerMessage[] = [];
	const metrics = new EntryMetrics();
	const limits = new TargetRateLimits({
		fleet: () => ({own: '10.0.0.1:1', linked: hasPeer ? [{name: peer, address: '10.0.0.2:1'}] : [], unlinked: []}),
		gatewayCount: () => hasPeer ? 2 : 1,
		send(_, message) {
			sent.push(message);
		},
		broadcast(message) {
			sent.push(message);
		},
		onPermits: () => undefined,
		log: {info: () => undefined} as unknown as Logger,
		metrics,
		now: () => time.now,
		timers: time,
	});
	return {
		time, sent, metrics, limits,
	};
};

test('a malformed limit is counted and changes nothing', t => {
	const {limits, metrics} = start(false);
	limits.record(target, {kind: 'malformed'}, 0);
	t.equal(limits.limitOf(target.incarnation), undefined);
	t.ok(limits.tryTake(target.incarnation));
	limits.record(target, named(4.2), 0);
	limits.record(target, {kind: 'malformed'}, 1);
	t.equal(limits.limitOf(target.incarnation), 4.2);
	t.match(metrics.render(), /target_rate_limit_malformed 2/);
	t.end();
});

// Guards against callers that all come back at once, or the last refused before the first.
test('callers that are refused for limits come back in the order in which they were refused', async t => {
	const {limits} = start(false);
	limits.record(target, named(4), 0);
	t.notOk(limits.areAllLimited([target.incarnation, other.incarnation]));
	limits.record(other, named(1), 0);
	t.ok(limits.areAllLimited([target.incarnation, other.incarnation]));
	t.notOk(limits.areAllLimited([]));
	const delays = Array.from({length: 5}, () => limits.returnMilliseconds('floor', [target.incarnation, other.incarnation]));
	t.strictSame(delays, [200, 400, 600, 800, 1000]);
});

test('a process that has just started issues nothing, and a lone one serves itself later', async t => {
	const {limits, time} = start(false);
	limits.record(target, named(10), 0);
	limits.want([target.incarnation]);
	t.equal(limits.permits(target.incarnation), 0);
	await time.run(settledMilliseconds);
	limits.want([target.incarnation]);
	t.equal(limits.permits(target.incarnation), 1);
	t.ok(limits.tryTake(target.incarnation));
	t.notOk(limits.tryTake(target.incarnation));
});

// Guards against a gateway that keeps to a limit which the owner of its permits knows to have ended.
test('a gateway that asks for permits under a limit that has ended is told so', async t => {
	const {limits, time, sent} = start(true);
	await time.run(settledMilliseconds);
	limits.record(target, named(4), time.now);
	await time.run(settledMilliseconds + 1000);
	limits.record(target, {kind: 'none'}, time.now);
	sent.splice(0);
	limits.receive(peer, {
		kind: 'permit ask', target: target.incarnation, wanted: 1, askedAt: 5, requestsPerSecond: 4, ageMilliseconds: 1000,
	});
	t.match(sent, [{kind: 'rate limit', target: target.incarnation, requestsPerSecond: undefined}]);
	limits.receive(peer, {
		kind: 'permit ask', target: target.incarnation, wanted: 1, askedAt: 6, requestsPerSecond: 4, ageMilliseconds: 0,
	});
	t.equal(limits.limitOf(target.incarnation), undefined, 'what is no newer than the end does not count');
	await time.run(settledMilliseconds + 2000);
	limits.receive(peer, {
		kind: 'rate limit', target: target.incarnation, requestsPerSecond: 3, ageMilliseconds: 10,
	});
	t.equal(limits.limitOf(target.incarnation), 3, 'what is newer does');
});
