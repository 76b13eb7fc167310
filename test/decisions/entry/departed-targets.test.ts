/**
Targets that have gone, and entries of theirs in a store that came back from an older copy.
*/
import {test} from 'tap';
import {DepartedTargets} from '../../../source/decisions/entry/targets/departed-targets.js';
import {TargetRegistry} from '../../../source/decisions/entry/targets/target-registry.js';
import type {TargetRecord} from '../../../source/fleet/target-record.js';

const heartbeatMilliseconds = 1200;

const record = (id: string): TargetRecord => ({
	id, incarnation: `${id} 1`, bornAt: 1, service: 's', address: '10.0.0.1:1', availabilityZone: 'a', isDraining: false, slots: 4, role: undefined,
});

const ids = (registry: TargetRegistry): readonly string[] => registry.usable('s').map(({id}) => id);

test('an entry of a target that went in an earlier era counts only once a live target must have renewed it', t => {
	const registry = new TargetRegistry(heartbeatMilliseconds);
	registry.adopt({era: 3, revision: 900, targets: [record('a'), record('b')]}, 0, 0);
	registry.adopt({era: 3, revision: 905, targets: [record('a')]}, 700, 700);
	registry.adopt({era: 4, revision: 20, targets: [record('a'), record('b')]}, 1400, 1400);
	t.strictSame(ids(registry), ['a']);
	t.equal(registry.staleEntryCount, 1);
	registry.confirm(60, 6000, 6000);
	t.strictSame(ids(registry), ['a'], 'not while the store was away in between: it may remove nothing then');
	for (const at of [7000, 8000, 9000, 10_000]) {
		registry.confirm(60, at, at);
	}

	t.strictSame(ids(registry), ['a']);
	registry.confirm(80, 10_900, 10_900);
	t.strictSame(ids(registry), ['a', 'b'], 'it is still listed, so its target lives');
	t.end();
});

test('a target that is registered again in the same era is used at once', t => {
	const registry = new TargetRegistry(heartbeatMilliseconds);
	registry.adopt({era: 3, revision: 900, targets: [record('a'), record('b')]}, 0, 0);
	registry.adopt({era: 3, revision: 905, targets: [record('a')]}, 700, 700);
	registry.adopt({era: 3, revision: 906, targets: [record('a'), record('b')]}, 1400, 1400);
	t.strictSame(ids(registry), ['a', 'b']);
	t.end();
});

test('live targets that the copy lacks are retained until they must be listed again, also when the store comes back twice in a row', t => {
	const registry = new TargetRegistry(heartbeatMilliseconds);
	registry.adopt({era: 3, revision: 900, targets: [record('a'), record('b')]}, 0, 0);
	registry.adopt({era: 4, revision: 20, targets: [record('a')]}, 700, 700);
	registry.adopt({era: 5, revision: 15, targets: [record('a')]}, 2000, 2000);
	t.strictSame(ids(registry), ['a', 'b']);
	registry.confirm(30, 3900, 3900);
	t.strictSame(ids(registry), ['a', 'b']);
	t.strictSame(registry.confirm(31, 4100, 4100).map(({kind}) => kind), ['gone']);
	t.end();
});

test('a stale entry that the next copy lacks is not retained', t => {
	const registry = new TargetRegistry(heartbeatMilliseconds);
	registry.adopt({era: 3, revision: 900, targets: [record('a'), record('b')]}, 0, 0);
	registry.adopt({era: 3, revision: 905, targets: [record('a')]}, 700, 700);
	registry.adopt({era: 4, revision: 20, targets: [record('a'), record('b')]}, 1400, 1400);
	registry.adopt({era: 5, revision: 15, targets: [record('a')]}, 2000, 2000);
	t.strictSame(ids(registry), ['a']);
	t.end();
});

test('a target that is leaving is remembered for as long as it is listed, and peers are told of it for a while only', t => {
	const departed = new DepartedTargets(heartbeatMilliseconds);
	departed.markLeaving('a 1', 0);
	departed.markLeaving('b 1', 0);
	for (let now = 0; now <= 200_000; now += 1000) {
		departed.forgetOld(new Set(['a 1']), now);
	}

	t.equal(departed.isLeaving('a 1'), true);
	t.equal(departed.isLeaving('b 1'), false);
	t.strictSame(departed.announcedLeaving(200_000), ['a 1']);
	t.end();
});
