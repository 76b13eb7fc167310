/**
Tests the small decisions of the duties.
*/
import * as option from 'fp-ts/lib/Option.js';
import {test} from 'tap';
import {dutyCandidates} from '../../../source/decisions/duties/duty-candidates.js';
import {fencingToken} from '../../../source/decisions/duties/fencing-token.js';
import {PeerReach} from '../../../source/decisions/duties/peer-reach.js';
import {usagePace} from '../../../source/decisions/duties/usage-pace.js';

const tokenOf = (era: number, revision: number): number => option.toUndefined(fencingToken({era, revision}))!;

// Guards against a token that goes back when the store comes back from a copy and gives revisions out again.
test('tokens are ordered by era and then by revision, and are safe integers', t => {
	t.ok(tokenOf(2, 1) > tokenOf(1, 2 ** 39));
	t.ok(tokenOf(2, 7) > tokenOf(2, 6));
	t.ok(tokenOf(0, 5) > 0, 'a store that does not number its eras');
	t.ok(option.isNone(fencingToken({era: 1, revision: 0})));
	t.ok(option.isNone(fencingToken({era: 1, revision: 2 ** 40})));
	t.ok(option.isNone(fencingToken({era: 2 ** 13, revision: 1})));
	t.ok(Number.isSafeInteger(tokenOf((2 ** 13) - 1, (2 ** 40) - 1)));
	t.end();
});

// Guards against contention of the whole fleet for one lease.
test('three gateways contend besides the holder, in the same order everywhere', t => {
	const names = Array.from({length: 22}, (_, index) => `gateway-${index}`);
	const first = dutyCandidates('usage', names, undefined);
	t.equal(first.length, 3);
	t.strictSame(dutyCandidates('usage', names.toReversed(), undefined), first);
	t.strictSame(dutyCandidates('usage', names, first[0]).slice(0, 2), first.slice(1));
	t.strictSame(dutyCandidates('usage', ['gateway-1'], undefined), ['gateway-1']);
	t.end();
});

// Guards against a holder on the smaller side of a partition.
test('a gateway that reaches less than half of the fleet knows it for a while', t => {
	const reach = new PeerReach();
	reach.update(['b', 'c', 'd', 'e'], 0);
	t.notOk(reach.isOutnumbered);
	reach.update(['b', 'c'], 1000);
	t.notOk(reach.isOutnumbered);
	reach.update(['b'], 2000);
	t.ok(reach.isOutnumbered);
	reach.update(['b'], 40_000);
	t.notOk(reach.isOutnumbered, 'the others are taken to have ended');
	t.end();
});

test('gateways that stop as planned are not missed', t => {
	const reach = new PeerReach();
	reach.update(['b', 'c'], 0);
	reach.remove('b');
	reach.remove('c');
	reach.update(['b'], 500);
	reach.update([], 1000);
	t.notOk(reach.isOutnumbered);
	reach.add('b');
	reach.add('c');
	reach.update(['b', 'c'], 2000);
	reach.update([], 3000);
	t.ok(reach.isOutnumbered, 'they have started again, and are cut off');
	t.end();
});

// Guards against messages to the candidates that grow with the square of the fleet.
test('a receiver gets eighty messages per second at most', t => {
	for (const count of [1, 22, 29, 100, 370]) {
		t.ok((count * 1000 / usagePace(count, 5000)) + (count / 5) <= 80.1);
	}

	t.ok(usagePace(29, 5000) < 400, 'a gateway that is killed loses few counts');

	t.end();
});
