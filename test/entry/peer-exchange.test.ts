/**
What a gateway makes of lists of targets that others tell of, in virtual time.
*/
import {test} from 'tap';
import {nameList} from '../../source/decisions/entry/name-list.js';
import {StoreFeed} from '../../source/decisions/entry/store-feed.js';
import type {TargetRecord} from '../../source/fleet/target-record.js';
import type {PeerMessage} from '../../source/generated/peer-messages.js';
import {VirtualGateway} from '../support/virtual-gateway.js';
import {VirtualLinks} from '../support/virtual-links.js';
import {VirtualStore} from '../support/virtual-store.js';
import {VirtualTime} from '../support/virtual-time.js';

const target = (id: string): TargetRecord => ({
	id, incarnation: `${id} 1`, bornAt: 1, service: 's', address: `10.1.0.${id.length}:80`, availabilityZone: 'a', isDraining: false, slots: 8, role: 'decode',
});

const names = Array.from({length: 9}, (_, index) => `gateway-${index}`);

const readerOf = (name: string): string => {
	const feed = new StoreFeed({name, linkMegabits: 1000});
	feed.update(names.filter(other => other !== name).map(other => ({name: other, linkMegabits: 1000})));
	return feed.reader;
};

const own = names.find(name => readerOf(name) !== '')!;
const reader = readerOf(own);

/** One gateway, with peers that say only what a test has them say. */
const startGateway = (): {
	readonly time: VirtualTime; readonly store: VirtualStore; readonly gateway: VirtualGateway; readonly heard: PeerMessage[]; readonly say: (peer: string, message: PeerMessage) => void; readonly used: () => readonly string[];
} => {
	const time = new VirtualTime();
	const links = new VirtualLinks(time);
	const store = new VirtualStore(time);
	const heard: PeerMessage[] = [];
	for (const name of names.filter(other => other !== own)) {
		links.add({
			name,
			incarnation: name,
			receive(_, message) {
				if (name === reader) {
					heard.push(message);
				}
			},
			lost: () => undefined,
			run(act) {
				act();
			},
			isAway: () => false,
			delay: () => 0,
			cutUntil: () => 0,
		}, 0);
		// Something is heard of each all the time, so that links stay.
		time.every(500, () => {
			links.send(name, own, {
				kind: 'answer', number: 0, isGranted: true, waitingMilliseconds: 0,
			});
		});
	}

	const gateway = new VirtualGateway({
		name: own, incarnation: 1, time, store, links, random: () => 0.5,
	});
	return {
		time, store, gateway, heard, say(peer, message) {
			links.send(peer, own, message);
		}, used: () => gateway.beliefs.usable('s').map(({id}) => id),
	};
};

const listOf = (targets: readonly TargetRecord[], revision: number): PeerMessage => ({
	kind: 'targets', revision, age: 0, targets: targets.map(record => ({...record})),
});

const freshOf = (targets: readonly TargetRecord[], revision: number): PeerMessage => ({
	kind: 'fresh', storeAge: 0, configurationVersion: 1, revision, listName: nameList(targets),
});

test('DRAIN: the older list of another peer does not bring back what the reader said is gone', async t => {
	const {time, gateway, say, used} = startGateway();
	await time.run(3000);
	say(reader, listOf([target('a')], 101));
	say(names.find(name => name !== own && name !== reader)!, listOf([target('a'), target('bb')], 100));
	await time.run(3100);
	t.strictSame(used(), ['a']);
	gateway.kill();
});

test('DRAIN: a reader\'s word counts only for the list that it names; another list is asked for', async t => {
	const {time, store, gateway, heard, say, used} = startGateway();
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
	const {time, store, gateway, say, used} = startGateway();
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
	const {time, gateway, heard, say} = startGateway();
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
	const {time, store, gateway} = startGateway();
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
