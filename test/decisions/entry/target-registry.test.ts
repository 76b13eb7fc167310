/**
Which targets may get work, for reports from any source in any order.
*/
import fc from 'fast-check';
import {test} from 'tap';
import {TargetRegistry} from '../../../source/decisions/entry/targets/target-registry.js';
import type {TargetRecord} from '../../../source/fleet/target-record.js';

const record = (id: string, more: Partial<TargetRecord> = {}): TargetRecord => {
	const bornAt = more.bornAt ?? 1;
	return {
		id, incarnation: `${id} ${bornAt}`, service: 's', address: '10.0.0.1:1', availabilityZone: 'a', isDraining: false, slots: 4, role: undefined, ...more, bornAt,
	};
};

/** How often targets renew their entries. */
const heartbeatMilliseconds = 1200;

/** Takes a list of this revision, read just now. */
const adopt = (registry: TargetRegistry, targets: readonly TargetRecord[], revision: number, now: number): ReturnType<TargetRegistry['adopt']> => registry.adopt({era: 1, revision, targets}, now, now);

const ids = (registry: TargetRegistry): readonly string[] => registry.usable('s').map(({id}) => id);

test('a target that is listed is used, one that is draining or gone is not', t => {
	const registry = new TargetRegistry(heartbeatMilliseconds);
	adopt(registry, [record('a'), record('b'), record('c', {isDraining: true})], 1, 0);
	t.strictSame(ids(registry), ['a', 'b']);
	adopt(registry, [record('a')], 2, 100);
	t.strictSame(ids(registry), ['a']);
	t.end();
});

test('targets whose entries expired while the store was unavailable are retained until live targets are listed again', t => {
	const registry = new TargetRegistry(heartbeatMilliseconds);
	adopt(registry, [record('a'), record('b')], 3, 0);
	adopt(registry, [record('a')], 4, 5000);
	t.strictSame(ids(registry), ['a', 'b']);
	adopt(registry, [record('a')], 5, 6900);
	t.strictSame(ids(registry), ['a', 'b']);
	adopt(registry, [record('a')], 6, 7100);
	t.strictSame(ids(registry), ['a']);
	t.end();
});

test('DRAIN: calls of this gateway that fail for a moment do not retain a target that has left', t => {
	const registry = new TargetRegistry(heartbeatMilliseconds);
	adopt(registry, [record('a'), record('b')], 3, 0);
	// Two unanswered calls: too short for an entry to expire, because targets renew their entries three times as often.
	t.strictSame(adopt(registry, [record('a')], 6, 2300).map(({kind}) => kind), ['gone']);
	t.strictSame(ids(registry), ['a']);
	t.end();
});

test('DRAIN: a gateway that the store rejected but its peers fed retains nothing', t => {
	const registry = new TargetRegistry(heartbeatMilliseconds);
	adopt(registry, [record('a'), record('b'), record('c')], 3, 0);
	registry.confirm(5, 2000, 2010);
	registry.adopt({era: 1, revision: 6, targets: [record('a'), record('b')]}, 3900, 4000);
	adopt(registry, [record('a')], 9, 6000);
	t.strictSame(ids(registry), ['a']);
	t.end();
});

test('DRAIN: retention after an outage of the store ends with the first list that was read late enough, or its confirmation by a peer', t => {
	const registry = new TargetRegistry(heartbeatMilliseconds);
	adopt(registry, [record('a'), record('b')], 3, 0);
	adopt(registry, [record('a')], 4, 5000);
	t.strictSame(ids(registry), ['a', 'b']);
	t.strictSame(registry.confirm(8, 6900, 7300), [], 'read before live targets are certain to be listed again');
	t.strictSame(registry.confirm(9, 7100, 7400).map(({kind}) => kind), ['gone']);
	t.strictSame(ids(registry), ['a']);
	t.end();
});

test('DRAIN: an older list that comes later does not bring back a target that has gone', t => {
	const registry = new TargetRegistry(heartbeatMilliseconds);
	adopt(registry, [record('a'), record('b')], 10, 0);
	t.strictSame(adopt(registry, [record('a')], 12, 700).map(({kind}) => kind), ['gone']);
	t.strictSame(adopt(registry, [record('a'), record('b')], 11, 800), []);
	t.strictSame(ids(registry), ['a']);
	registry.confirm(20, 900, 950);
	t.strictSame(adopt(registry, [record('a'), record('b')], 15, 1000), [], 'the list in force was confirmed at a later revision');
	t.strictSame(ids(registry), ['a']);
	adopt(registry, [record('a'), record('b')], 21, 1100);
	t.strictSame(ids(registry), ['a', 'b'], 'a newer list may list it again');
	t.end();
});

test('DRAIN: an older list neither removes a target that has appeared nor updates the read time', t => {
	const registry = new TargetRegistry(heartbeatMilliseconds);
	adopt(registry, [record('a'), record('b')], 10, 500);
	adopt(registry, [record('a')], 9, 900);
	t.strictSame(ids(registry), ['a', 'b']);
	t.equal(registry.readAt, 500);
	t.end();
});

test('lists of another store are adopted from its first one on', t => {
	const registry = new TargetRegistry(heartbeatMilliseconds);
	adopt(registry, [record('a')], 900, 0);
	registry.resetPosition();
	t.strictSame(ids(registry), ['a'], 'until then the former list holds');
	adopt(registry, [record('b')], 3, 500);
	t.strictSame(ids(registry), ['b']);
	adopt(registry, [record('a')], 2, 600);
	t.strictSame(ids(registry), ['b']);
	t.end();
});

test('a restart under the same id is a new target, and an old entry of the former start changes nothing', t => {
	const registry = new TargetRegistry(heartbeatMilliseconds);
	adopt(registry, [record('a', {bornAt: 1})], 7, 0);
	registry.markLeaving('a 1', 10);
	t.strictSame(ids(registry), []);
	adopt(registry, [record('a', {bornAt: 2})], 8, 100);
	t.strictSame(ids(registry), ['a']);
	adopt(registry, [record('a', {bornAt: 1})], 9, 200);
	t.strictSame(registry.usable('s').map(({bornAt}) => bornAt), [2]);
	t.end();
});

test('work chosen for an address that has changed since is not sent', t => {
	const registry = new TargetRegistry(heartbeatMilliseconds);
	const former = record('a');
	adopt(registry, [former], 10, 0);
	adopt(registry, [record('a', {address: '10.0.0.2:1'})], 11, 100);
	t.equal(registry.isUsable(former), false);
	t.end();
});

test('an incarnation that was ever said to leave is never used again', async t => {
	const step = fc.oneof(
		fc.record({kind: fc.constant('list' as const), draining: fc.subarray(['a', 'b', 'c']), listed: fc.subarray(['a', 'b', 'c'])}),
		fc.record({kind: fc.constant('peer' as const), id: fc.constantFrom('a', 'b', 'c')}),
		fc.record({kind: fc.constant('word' as const)}),
		fc.record({kind: fc.constant('pause' as const), milliseconds: fc.integer({min: 300, max: 6000})}),
	);
	fc.assert(fc.property(fc.array(step, {maxLength: 40}), steps => {
		const registry = new TargetRegistry(heartbeatMilliseconds);
		const left = new Set<string>();
		let now = 0;
		return steps.every((each, index) => {
			now += 300;
			switch (each.kind) {
				case 'list': {
					adopt(registry, each.listed.map(id => record(id, {isDraining: each.draining.includes(id)})), index + 1, now);
					for (const id of each.listed.filter(listed => each.draining.includes(listed))) {
						left.add(id);
					}

					break;
				}

				case 'peer': {
					registry.markLeaving(`${each.id} 1`, now);
					left.add(each.id);
					break;
				}

				case 'pause': {
					now += each.milliseconds;
					break;
				}

				case 'word': {
					registry.confirm(index, now, now);
					break;
				}
			}

			return ids(registry).every(id => !left.has(id));
		});
	}), {seed: 11, numRuns: 300});
	t.pass('300 runs');
});
