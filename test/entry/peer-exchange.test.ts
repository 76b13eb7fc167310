/**
How one gateway handles the lists, configurations and freshness reports of its peers, in
virtual time.
*/
import {test} from 'tap';
import {LoneGateway} from '../support/lone-gateway.js';

const {own, reader, names, target, listOf, freshOf} = LoneGateway;

test('DRAIN: an older list from another peer does not restore a target that is missing from the list of the reader', async t => {
	const {time, gateway, say, used} = new LoneGateway();
	await time.run(3000);
	say(reader, listOf([target('a')], 101));
	say(names.find(name => name !== own && name !== reader)!, listOf([target('a'), target('bb')], 100));
	await time.run(3100);
	t.strictSame(used(), ['a']);
	gateway.kill();
});

test('DRAIN: a freshness report counts only for the list that it names, and a list that is not in force is requested', async t => {
	const {time, store, gateway, heard, say, used} = new LoneGateway();
	store.put(target('a'));
	store.put(target('bb'));
	await time.run(3000);
	t.strictSame(used(), ['a', 'bb'], 'the gateway reads the store itself');
	time.every(200, () => {
		say(reader, freshOf([target('a')], 101));
	});
	await time.run(3150);
	say(reader, freshOf([target('a')], 101));
	await time.run(3160);
	t.ok(heard.some(({kind}) => kind === 'want'), 'the list that the report names is requested');
	say(reader, listOf([target('a')], 101));
	await time.run(3170);
	t.strictSame(used(), ['a']);
	await time.run(3600);
	const requestsBefore = heard.filter(({kind}) => kind === 'want').length;
	await time.run(5000);
	t.equal(heard.filter(({kind}) => kind === 'want').length, requestsBefore, 'no request once the gateway has the list that is reported');
	t.strictSame(used(), ['a'], 'a gateway that is fed does not read the store');
	gateway.kill();
});

test('DRAIN: a gateway that never receives the list that its reader reports reads the store itself', async t => {
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

test('DRAIN: a peer with an old configuration is not sent a new one at each digest, as reports of leaving targets would wait behind it', async t => {
	const {time, gateway, heard, say} = new LoneGateway();
	await time.run(3000);
	time.every(600, () => {
		say(reader, LoneGateway.digestOf());
	});
	await time.run(9000);
	const copies = (): number => heard.filter(({kind}) => kind === 'configuration').length;
	t.equal(copies(), 0, 'the configuration is sent only on request');
	say(reader, {kind: 'want', subject: 'configuration'});
	await time.run(9010);
	t.equal(copies(), 1);
	gateway.kill();
});

test('the age of an answer from a slow store counts from the request, so routes are not reported as nonexistent because of it', async t => {
	const {time, store, gateway} = new LoneGateway();
	await time.run(3000);
	t.ok(gateway.isSure);
	store.slowMilliseconds = 650;
	const samples: boolean[] = [];
	time.every(50, () => {
		samples.push(gateway.isSure);
	});
	await time.run(9000);
	t.ok(samples.includes(false), 'each answer is 0.7 s old, and the next one comes 1.4 s later');
	gateway.kill();
});
