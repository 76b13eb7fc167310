/**
Who reads the store in a large fleet, and when a gateway that is told reads itself.
*/
import {test} from 'tap';
import {StoreFeed} from '../../../source/decisions/entry/store-feed.js';

const names = (count: number): readonly string[] => Array.from({length: count}, (_, index) => `gateway-${index}`);

type Gateway = Parameters<StoreFeed['update']>[0][number];

const linked = (name: string, linkMegabits = 200): Gateway => ({name, linkMegabits});

const feedAmong = (own: string, gateways: readonly Gateway[]): StoreFeed => {
	const feed = new StoreFeed(gateways.find(({name}) => name === own)!);
	feed.update(gateways.filter(({name}) => name !== own));
	return feed;
};

const feedOf = (own: string, gateways: readonly string[]): StoreFeed => feedAmong(own, gateways.map(name => linked(name)));

test('in a small fleet all read', t => {
	t.ok(names(6).every(own => feedOf(own, names(6)).reader === ''));
	t.end();
});

test('in a large fleet three read, each of the others relies on one of them, and all agree who reads', t => {
	const gateways = names(31);
	const feeds = gateways.map(own => ({own, reader: feedOf(own, gateways).reader}));
	const readers = new Set(feeds.filter(({reader}) => reader === '').map(({own}) => own));
	t.equal(readers.size, 3);
	t.ok(feeds.every(({reader}) => reader === '' || readers.has(reader)));
	t.equal(new Set(feeds.map(({reader}) => reader)).size, 4, 'every reader is relied on');
	t.end();
});

test('DRAIN: those read whose links carry most, as words on leaving targets wait behind all else that a reader sends', t => {
	const gateways = names(20).map((name, index) => linked(name, index % 5 === 0 ? 200 : 10));
	const strong = new Set(gateways.filter(({linkMegabits}) => linkMegabits === 200).map(({name}) => name));
	const readers = new Set(gateways.map(({name}) => feedAmong(name, gateways).reader).filter(reader => reader !== ''));
	t.equal(readers.size, 3);
	t.ok([...readers].every(reader => strong.has(reader)));
	t.end();
});

test('a gateway counts as told only by its reader\'s word, and while that one\'s reading is fresh', t => {
	const gateways = names(31);
	const own = gateways.find(name => feedOf(name, gateways).reader !== '')!;
	const feed = feedOf(own, gateways);
	const {reader} = feed;
	t.equal(feed.isFed(1000), false, 'no word yet');
	feed.hear('gateway-unknown', 900);
	t.equal(feed.isFed(1000), false, 'the word of another');
	feed.hear(reader, 900);
	t.equal(feed.isFed(1000), true);
	feed.hear('gateway-unknown', 5000);
	t.equal(feed.isFed(2200), false, 'older than a second and a quarter: it reads itself');
	feed.hear(reader, 2300);
	t.equal(feed.isFed(2400), true, 'and is told again');
	feed.lost(reader);
	t.equal(feed.isFed(2400), false, 'what it last said may no longer hold');
	t.end();
});

test('when a reader goes, those that relied on it choose another and want its word first', t => {
	const gateways = names(31);
	const own = gateways.find(name => feedOf(name, gateways).reader !== '')!;
	const feed = feedOf(own, gateways);
	const former = feed.reader;
	feed.hear(former, 1000);
	feed.update(gateways.filter(name => name !== own && name !== former).map(name => linked(name)));
	t.not(feed.reader, former);
	t.equal(feed.isFed(1000), false);
	t.end();
});
