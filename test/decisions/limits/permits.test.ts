/**
Who issues the permits of a target, at which rate, and what becomes of them.
*/
import {test} from 'tap';
import {askLifetimeMilliseconds} from '../../../source/decisions/limits/ask-lifetime-milliseconds.js';
import type {FleetView} from '../../../source/decisions/limits/fleet-view.js';
import {limitedWaitMilliseconds} from '../../../source/decisions/limits/limited-wait-milliseconds.js';
import {PermitIssue} from '../../../source/decisions/limits/permit-issue.js';
import {permitOwner} from '../../../source/decisions/limits/permit-owner.js';
import {PermitStock} from '../../../source/decisions/limits/permit-stock.js';

const lifetimeMilliseconds = 1000;
const addresses = Array.from({length: 6}, (_, index) => `10.0.0.${index}:1`);

/** The fleet as the gateway at `own` sees it. */
const viewOf = (own: string, linked: readonly string[], unlinked: FleetView['unlinked'] = []): FleetView => ({
	own, linked: linked.filter(address => address !== own).map(address => ({name: `at ${address}`, address})), unlinked,
});

test('gateways that reach each other agree on one owner', t => {
	for (const target of ['i-1 1', 'i-2 1', 'i-3 1']) {
		const owners = addresses.filter(own => permitOwner(target, viewOf(own, addresses)).kind === 'own');
		t.equal(owners.length, 1);
		const asked = addresses.filter(own => own !== owners[0]).map(own => permitOwner(target, viewOf(own, addresses)));
		t.ok(asked.every(owner => owner.kind === 'peer' && owner.name === `at ${owners[0]!}`));
	}

	t.end();
});

// Guards against two gateways that issue the whole limit each.
test('a gateway neither takes over from an owner that others still reach, nor issues what belongs to gateways that it does not reach', t => {
	const owner = addresses.find(own => permitOwner('i-1 1', viewOf(own, addresses)).kind === 'own')!;
	const others = addresses.filter(address => address !== owner);
	const lost = (ageMilliseconds: number): FleetView => viewOf(others[0]!, others, [{address: owner, ageMilliseconds}]);
	t.strictSame(permitOwner('i-1 1', lost(1000)), {kind: 'unreachable'});
	t.not(permitOwner('i-1 1', lost(5000)).kind, 'unreachable');
	const successor = others.find(own => permitOwner('i-1 1', viewOf(own, others, [{address: owner, ageMilliseconds: 5000}])).kind === 'own')!;
	t.strictSame(permitOwner('i-1 1', viewOf(successor, others, [{address: owner, ageMilliseconds: Number.POSITIVE_INFINITY}])), {kind: 'own', share: 5 / 6});
	t.strictSame(permitOwner('i-1 1', viewOf('alone', [])), {kind: 'own', share: 1});
	t.end();
});

test('permits are issued at the rate of the limit, one to each gateway in turn', t => {
	const issue = new PermitIssue(0);
	issue.ask('a', {wanted: 10, askedAt: 1, lifetimeMilliseconds}, 0);
	issue.ask('b', {wanted: 1, askedAt: 2, lifetimeMilliseconds}, 0);
	issue.ask('c', {wanted: 10, askedAt: 3, lifetimeMilliseconds}, 0);
	const order = Array.from({length: 6}, (_, index) => issue.take(10, index * 100).map(({gateway, count}) => `${gateway}${count}`));
	t.strictSame(order.flat(), ['a1', 'b1', 'c1', 'a1', 'c1', 'a1']);
	t.equal(issue.waitMilliseconds(10), 100);
	t.strictSame(issue.take(10, 5000), [], 'asks that were not repeated count no more');
	t.equal(issue.waitMilliseconds(10), undefined);
	t.end();
});

// Guards against a burst after a time in which nobody asked.
test('little is saved up', t => {
	const issue = new PermitIssue(0);
	issue.ask('a', {wanted: 50, askedAt: 1, lifetimeMilliseconds}, 60_000);
	t.strictSame(issue.take(8, 60_000), [{gateway: 'a', askedAt: 1, count: 2}]);
	t.end();
});

test('a gateway that is lost gets nothing', t => {
	const issue = new PermitIssue(0);
	issue.ask('a', {wanted: 1, askedAt: 1, lifetimeMilliseconds}, 0);
	issue.discard('a');
	t.strictSame(issue.take(8, 100), []);
	t.end();
});

test('permits are used once each, and expire a while after they were asked for', t => {
	const stock = new PermitStock();
	stock.want(2, 8);
	t.equal(stock.takeAsk(lifetimeMilliseconds, 0), 2);
	stock.want(1, 8);
	t.equal(stock.takeAsk(lifetimeMilliseconds, 10), 0, 'an ask is open');
	stock.receive(2, 0, 400);
	t.equal(stock.receivedPerSecond(500), 1);
	t.ok(stock.tryTake(500));
	t.equal(stock.count(500), 1);
	t.notOk(stock.tryTake(1500), 'expired, however late it arrived');
	t.equal(stock.takeAsk(lifetimeMilliseconds, 1600), 1);
	t.end();
});

// Guards against a gateway that hoards the permits of a target.
test('no more is asked for than the target takes in half a second', t => {
	const stock = new PermitStock();
	for (let index = 0; index < 100; index++) {
		stock.want(1, 8);
	}

	t.equal(stock.takeAsk(lifetimeMilliseconds, 0), 4);
	const boundless = new PermitStock();
	for (let index = 0; index < 3000; index++) {
		boundless.want(1, 999_999_999);
	}

	t.equal(boundless.takeAsk(lifetimeMilliseconds, 0), 1000, 'whatever the limit');
	t.end();
});

test('the asks of a large fleet count longer, and a wait for limited targets grows with those ahead', t => {
	t.strictSame([1, 68, 370].map(gateways => askLifetimeMilliseconds(gateways)), [100, 272, 1000]);
	t.equal(limitedWaitMilliseconds([{permitsPerSecond: 3}, {permitsPerSecond: 1}], 2), 750);
	t.equal(limitedWaitMilliseconds([{permitsPerSecond: 3}, {permitsPerSecond: undefined}], 2), 0);
	t.equal(limitedWaitMilliseconds([], 2), 0);
	t.end();
});
