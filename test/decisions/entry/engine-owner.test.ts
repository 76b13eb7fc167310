/**
Which gateway owns an engine.
*/
import {test} from 'tap';
import {engineOwner} from '../../../source/decisions/entry/prompts/engine-owner.js';

const engines = Array.from({length: 40}, (_, index) => `engine-${index} 1`);
const gateways = ['gateway-1', 'gateway-2', 'gateway-3', 'gateway-4', 'gateway-5'];

test('gateways agree on owners, whatever the order of their peer lists, and each owns some engines', t => {
	const owners = engines.map(engine => engineOwner(engine, gateways));
	t.strictSame(owners, engines.map(engine => engineOwner(engine, gateways.toReversed())));
	t.ok(gateways.every(gateway => owners.filter(owner => owner === gateway).length > 2));
	t.end();
});

test('when a gateway leaves, only its engines get a new owner', t => {
	const remaining = gateways.slice(1);
	const moved = engines.filter(engine => engineOwner(engine, gateways) !== engineOwner(engine, remaining));
	t.ok(moved.length > 0);
	t.ok(moved.every(engine => engineOwner(engine, gateways) === 'gateway-1'));
	t.end();
});

test('without gateways an engine has no owner', t => {
	t.equal(engineOwner('engine-1 1', []), undefined);
	t.end();
});
