/**
Stores that come back from an older copy, on seeded days in virtual time with overlapping
faults, and which targets gateways use then.
*/
import process from 'node:process';
import {test} from 'tap';
import {LoneGateway} from '../support/lone-gateway.js';
import {playDays} from '../support/play-days.js';

const {reader, target, listOf, freshOf} = LoneGateway;

const firstSeed = Number(process.env.SEED ?? 1);
const days = Number(process.env.DAYS ?? 24);
/** Seeds of days on which live targets were taken for stale, or stale entries for live targets, by earlier versions. */
const decisiveSeeds = [132, 244, 259, 2159, 2178];
const seeds = [...Array.from({length: days}, (_, index) => firstSeed + index), ...decisiveSeeds];

const violations = await playDays(seeds, {restores: 2});

test('a target that has left is not used again because the store comes back from an older copy', t => {
	t.strictSame(violations.filter(({kind}) => kind === 'used again after leaving'), []);
	t.end();
});

test('DRAIN: no connected gateway sends work to a target that left more than three seconds ago', t => {
	t.strictSame(violations.filter(({kind}) => kind === 'used after leaving'), []);
	t.end();
});

test('live targets stay usable while the copy lacks their entries, and are used once they are listed', t => {
	t.strictSame(violations.filter(({kind}) => kind === 'dropped with the store' || kind === 'living and not used'), []);
	t.end();
});

test('the same holds in a fleet of five gateways, which all read the store', async t => {
	const few = await playDays(seeds, {gateways: 5, restores: 2});
	t.strictSame(few.filter(({kind}) => kind !== 'not known after a restart'), []);
});

test('a list of a later era counts although its revision is lower, and a delayed one of the earlier era no longer does', async t => {
	const {time, gateway, say, used} = new LoneGateway();
	await time.run(3000);
	say(reader, listOf([target('a'), target('bb')], 900, 3));
	await time.run(3010);
	say(reader, listOf([target('a'), target('bb'), target('ccc')], 20, 4));
	await time.run(3020);
	t.strictSame(used(), ['a', 'bb', 'ccc']);
	say(reader, listOf([target('a')], 950, 3));
	await time.run(3030);
	t.strictSame(used(), ['a', 'bb', 'ccc']);
	gateway.kill();
});

test('a freshness report of an earlier era confirms nothing', async t => {
	const {time, gateway, say} = new LoneGateway();
	await time.run(3000);
	say(reader, listOf([target('a')], 20, 4));
	await time.run(3010);
	const {readAt} = gateway.beliefs;
	say(reader, freshOf([target('a')], 950, 3));
	await time.run(3500);
	t.equal(gateway.beliefs.readAt, readAt);
	gateway.kill();
});

test('a report of a gateway that reads another store is ignored', async t => {
	const {time, gateway, say, used} = new LoneGateway();
	await time.run(3000);
	say(reader, listOf([target('a')], 20, 1));
	await time.run(3010);
	say(reader, {...listOf([target('bb')], 900, 7), store: '10.200.1.9:8142'} as ReturnType<typeof listOf>);
	await time.run(3020);
	t.strictSame(used(), ['a']);
	gateway.kill();
});

test('a gateway that starts after the store came back learns from its peers which listed targets have gone', async t => {
	const {time, store, gateway, say, used} = new LoneGateway();
	store.put(target('a'));
	store.put(target('bb'));
	store.era = 4;
	await time.run(800);
	say(reader, LoneGateway.digestOf({
		storeEra: 4,
		sinceRestore: 500,
		gone: {
			incarnations: ['bb 1'], eras: [3], revisions: [900], ages: [2500],
		},
	}));
	await time.run(1200);
	t.strictSame(used(), ['a']);
	t.notOk(gateway.isSure, 'operators may not have written their configurations again');
	await time.run(9000);
	t.strictSame(used(), ['a', 'bb'], 'an entry that is still listed after its time is renewed by a live target');
	gateway.kill();
});

test('after the return no configuration counts as the newest until the operator has had time to write it again', async t => {
	const {time, store, gateway} = new LoneGateway();
	await time.run(3000);
	t.ok(gateway.isSure);
	store.restore(store.copy());
	const samples: Array<{readonly at: number; readonly isSure: boolean}> = [];
	time.every(50, () => {
		samples.push({at: time.now, isSure: gateway.isSure});
	});
	await time.run(9000);
	const firstDoubt = samples.find(({isSure}) => !isSure)!.at;
	t.ok(firstDoubt <= 3900, `noticed with the next read, at ${firstDoubt}`);
	t.ok(samples.filter(({at}) => at >= firstDoubt && at < firstDoubt + 2000).every(({isSure}) => !isSure));
	t.ok(samples.at(-1)!.isSure);
	gateway.kill();
});
