/**
Whom a gateway asks for a configuration that it lacks.
*/
import {test} from 'tap';
import {ConfigurationWant} from '../../../source/decisions/entry/configuration-want.js';

const ahead = (count: number): ReadonlyMap<string, number> => new Map(Array.from({length: count}, (_, index) => [`gateway-${index}`, 5]));

const situation = {
	version: 4, peers: ahead(19), reader: '', isSupplied: false,
};

test('of nineteen peers that are ahead one is asked, and another one when it has had its time', t => {
	const want = new ConfigurationWant('gateway-x');
	const asked = Array.from({length: 60}, (_, tick) => want.next(situation, tick * 100)).filter(peer => peer !== undefined);
	t.equal(asked.length, 3, 'in six seconds');
	t.not(asked[0], asked[1]);
	t.end();
});

test('a gateway that is told or reads waits a moment for what comes by itself', t => {
	const want = new ConfigurationWant('gateway-x');
	t.equal(want.next({...situation, isSupplied: true}, 0), undefined);
	t.equal(want.next({...situation, isSupplied: true}, 1100), undefined);
	t.not(want.next({...situation, isSupplied: true}, 1300), undefined);
	t.end();
});

test('the reader is asked first, and a peer that has gone is not waited for', t => {
	const want = new ConfigurationWant('gateway-x');
	t.equal(want.next({...situation, reader: 'gateway-7'}, 0), 'gateway-7');
	const rest = new Map([...ahead(19)].filter(([peer]) => peer !== 'gateway-7'));
	t.ok(rest.has(want.next({...situation, peers: rest}, 200) ?? ''));
	t.end();
});

test('nobody is asked by a gateway that has the newest', t => {
	const want = new ConfigurationWant('gateway-x');
	t.equal(want.next({...situation, version: 5}, 0), undefined);
	t.equal(want.next({...situation, peers: new Map()}, 0), undefined);
	t.end();
});
