/**
Which gateways of a large fleet read the store, and when a gateway that is fed reads it itself.
*/
import {test} from 'tap';
import {StoreFeed} from '../../../source/decisions/entry/store/store-feed.js';

const names = (count: number): readonly string[] => Array.from({length: count}, (_, index) => `gateway-${index}`);

type Gateway = Parameters<StoreFeed['update']>[0][number];

const gatewayNamed = (name: string, linkMegabits = 200): Gateway => ({name, linkMegabits});

const createFeed = (own: string, gateways: readonly Gateway[]): StoreFeed => {
	const feed = new StoreFeed(gateways.find(({name}) => name === own)!);
	feed.update(gateways.filter(({name}) => name !== own));
	return feed;
};

const createFeedByName = (own: string, gateways: readonly string[]): StoreFeed => createFeed(own, gateways.map(name => gatewayNamed(name)));

test('in a small fleet all gateways read the store', t => {
	t.ok(names(6).every(own => createFeedByName(own, names(6)).reader === ''));
	t.end();
});

test('in a large fleet three gateways are readers, each of the others is fed by one, and all agree on the readers', t => {
	const gateways = names(31);
	const feeds = gateways.map(own => ({own, reader: createFeedByName(own, gateways).reader}));
	const readers = new Set(feeds.filter(({reader}) => reader === '').map(({own}) => own));
	t.equal(readers.size, 3);
	t.ok(feeds.every(({reader}) => reader === '' || readers.has(reader)));
	t.equal(new Set(feeds.map(({reader}) => reader)).size, 4, 'every reader feeds some gateway');
	t.end();
});

test('DRAIN: the gateways with the fastest links are the readers, because reports of leaving targets queue behind all else that a reader sends', t => {
	const gateways = names(20).map((name, index) => gatewayNamed(name, index % 5 === 0 ? 200 : 10));
	const fastLinked = new Set(gateways.filter(({linkMegabits}) => linkMegabits === 200).map(({name}) => name));
	const readers = new Set(gateways.map(({name}) => createFeed(name, gateways).reader).filter(reader => reader !== ''));
	t.equal(readers.size, 3);
	t.ok([...readers].every(reader => fastLinked.has(reader)));
	t.end();
});

test('a gateway is fed only by reports of its own reader, and only while the reader\'s last read is recent', t => {
	const gateways = names(31);
	const own = gateways.find(name => createFeedByName(name, gateways).reader !== '')!;
	const feed = createFeedByName(own, gateways);
	const {reader} = feed;
	t.equal(feed.isFed(1000), false, 'no report yet');
	feed.confirm('gateway-unknown', 900);
	t.equal(feed.isFed(1000), false, 'a report of another gateway');
	feed.confirm(reader, 900);
	t.equal(feed.isFed(1000), true);
	feed.confirm('gateway-unknown', 5000);
	t.equal(feed.isFed(2200), false, 'older than 1.25 s: the gateway reads the store itself');
	feed.confirm(reader, 2300);
	t.equal(feed.isFed(2400), true, 'fed again');
	feed.discard(reader);
	t.equal(feed.isFed(2400), false, 'the last report may be outdated');
	t.end();
});

test('when a reader leaves, its gateways select another and are not fed until it reports', t => {
	const gateways = names(31);
	const own = gateways.find(name => createFeedByName(name, gateways).reader !== '')!;
	const feed = createFeedByName(own, gateways);
	const previous = feed.reader;
	feed.confirm(previous, 1000);
	feed.update(gateways.filter(name => name !== own && name !== previous).map(name => gatewayNamed(name)));
	t.not(feed.reader, previous);
	t.equal(feed.isFed(1000), false);
	t.end();
});
