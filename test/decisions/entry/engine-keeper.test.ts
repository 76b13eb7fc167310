/**
Which gateway speaks for an engine.
*/
import {test} from 'tap';
import {engineKeeper} from '../../../source/decisions/entry/engine-keeper.js';

const engines = Array.from({length: 40}, (_, index) => `engine-${index} 1`);
const gateways = ['gateway-1', 'gateway-2', 'gateway-3', 'gateway-4', 'gateway-5'];

test('gateways agree, whatever the order in which they know each other, and the work is spread', t => {
	const keepers = engines.map(engine => engineKeeper(engine, gateways));
	t.strictSame(keepers, engines.map(engine => engineKeeper(engine, gateways.toReversed())));
	t.ok(gateways.every(gateway => keepers.filter(keeper => keeper === gateway).length > 2));
	t.end();
});

test('when a gateway is gone only its engines get another', t => {
	const rest = gateways.slice(1);
	const moved = engines.filter(engine => engineKeeper(engine, gateways) !== engineKeeper(engine, rest));
	t.ok(moved.length > 0);
	t.ok(moved.every(engine => engineKeeper(engine, gateways) === 'gateway-1'));
	t.end();
});

test('without gateways there is none', t => {
	t.equal(engineKeeper('engine-1 1', []), undefined);
	t.end();
});
