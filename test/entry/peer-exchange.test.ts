/**
What a gateway makes of what others tell of the store, in virtual time.
*/
import {test} from 'tap';
import {LoneGateway} from '../support/lone-gateway.js';

const {own, reader, names, target, listOf, freshOf} = LoneGateway;

test('DRAIN: the older list of another peer does not bring back what the reader said is gone', async t => {
	const {time, gateway, say, used} = new LoneGateway();
	await time.run(3000);
	say(reader, listOf([target('a')], 101));
	say(names.find(name => name !== own && name !== reader)!, listOf([target('a'), target('bb')], 100));
	await time.run(3100);
	t.strictSame(used(), ['a']);
	gateway.kill();
});

test('DRAIN: a reader\'s word counts only for the list that it names; another list is asked for', async t => {
	const {time, store, gateway, heard, say, used} = new LoneGateway();
	store.put(target('a'));
	store.put(target('bb'));
	await time.run(3000);
	t.strictSame(used(), ['a', 'bb'], 'it reads the store itself');
	time.every(200, () => {
		say(reader, freshOf([target('a')], 101));
	});
	await time.run(3150);
	say(reader, freshOf([target('a')], 101));
	await time.run(3160);
	t.ok(heard.some(({kind}) => kind === 'want'), 'asks for what the word names');
	say(reader, listOf([target('a')], 101));
	await time.run(3170);
	t.strictSame(used(), ['a']);
	await time.run(3600);
	const before = heard.filter(({kind}) => kind === 'want').length;
	await time.run(5000);
	t.equal(heard.filter(({kind}) => kind === 'want').length, before, 'no more once it holds the same');
	t.strictSame(used(), ['a'], 'told, it does not read');
	gateway.kill();
});

test('DRAIN: a gateway that never gets the list which its reader names reads the store itself', async t => {
	const {time, store, gateway, say, used} = new LoneGateway();
	store.put(target('a'));
	store.put(target('bb'));
	time.every(200, () => {
		say(reader, freshOf([target('a'), target('ccc')], 200));
	});
	await time.run(4000);
	store.remove('bb');
	await time.run(5500);
	t.strictSame(used(), ['a']);
	gateway.kill();
});

test('DRAIN: a peer that lags is not sent the configuration again and again, behind which words on leaving targets would wait', async t => {
	const {time, gateway, heard, say} = new LoneGateway();
	await time.run(3000);
	time.every(600, () => {
		say(reader, {
			kind: 'digest',
			configurationVersion: 0,
			storeAge: 60_000,
			reader: 'gateway-unknown',
			isFed: false,
			leaving: [],
			peers: [],
			outstanding: {ids: [], attempts: [], readMilliseconds: []},
			sent: {engines: [], parts: [], tokens: []},
			told: {
				engines: [], rows: [], parts: [], tokens: [], isWhole: false,
			},
		});
	});
	await time.run(9000);
	const copies = (): number => heard.filter(({kind}) => kind === 'configuration').length;
	t.equal(copies(), 0, 'it asks for what it lacks');
	say(reader, {kind: 'want', subject: 'configuration'});
	await time.run(9010);
	t.equal(copies(), 1);
	gateway.kill();
});

test('a late answer of the store counts from when it was asked: routes are not said to be absent on its word', async t => {
	const {time, store, gateway} = new LoneGateway();
	await time.run(3000);
	t.ok(gateway.isSure);
	store.slowMilliseconds = 650;
	const samples: boolean[] = [];
	time.every(50, () => {
		samples.push(gateway.isSure);
	});
	await time.run(9000);
	t.ok(samples.includes(false), 'each answer is 0.7 s old, and the next comes 1.4 s later');
	gateway.kill();
});
