/**
Which peer a gateway asks for a newer configuration, and when.
*/
import {test} from 'tap';
import {ConfigurationPeerSelector} from '../../../source/decisions/entry/store/configuration-peer-selector.js';

const ahead = (count: number): ReadonlyMap<string, number> => new Map(Array.from({length: count}, (_, index) => [`gateway-${index}`, 5]));

const situation = {
	version: 4, peers: ahead(19), reader: '', isSupplied: false,
};

test('of nineteen peers that are ahead one is asked, and another one after the transfer time', t => {
	const selector = new ConfigurationPeerSelector('gateway-x');
	const asked = Array.from({length: 60}, (_, tick) => selector.next(situation, tick * 100)).filter(peer => peer !== undefined);
	t.equal(asked.length, 3, 'in six seconds');
	t.not(asked[0], asked[1]);
	t.end();
});

test('a gateway that is fed or reads the store waits before it asks a peer', t => {
	const selector = new ConfigurationPeerSelector('gateway-x');
	t.equal(selector.next({...situation, isSupplied: true}, 0), undefined);
	t.equal(selector.next({...situation, isSupplied: true}, 1100), undefined);
	t.not(selector.next({...situation, isSupplied: true}, 1300), undefined);
	t.end();
});

test('the reader is asked first, and a peer that has gone is not waited for', t => {
	const selector = new ConfigurationPeerSelector('gateway-x');
	t.equal(selector.next({...situation, reader: 'gateway-7'}, 0), 'gateway-7');
	const rest = new Map([...ahead(19)].filter(([peer]) => peer !== 'gateway-7'));
	t.ok(rest.has(selector.next({...situation, peers: rest}, 200) ?? ''));
	t.end();
});

test('a gateway with the newest version asks no peer', t => {
	const selector = new ConfigurationPeerSelector('gateway-x');
	t.equal(selector.next({...situation, version: 5}, 0), undefined);
	t.equal(selector.next({...situation, peers: new Map()}, 0), undefined);
	t.end();
});
