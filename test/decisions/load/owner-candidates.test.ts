/**
Guards against an engine whose owner gateway is in another zone although its own zone has gateways,
so that the gateways that send it most of its work learn of its backlog late.
*/
import {test} from 'tap';
import {ownerCandidates} from '../../../source/decisions/load/owner-candidates.js';

const gateways = (count: number) => Array.from({length: count}, (_, index) => ({name: `gateway-${index}`, availabilityZone: ['a', 'b', 'c'][index % 3]!}));

test('in a large fleet the owner is a gateway of the engine\'s zone', async t => {
	t.same(ownerCandidates(gateways(9), 'b'), ['gateway-1', 'gateway-4', 'gateway-7']);
});

test('an engine in a zone without gateways has an owner too', async t => {
	t.equal(ownerCandidates(gateways(9), 'd').length, 9);
});

test('in a small fleet, where all gateways know the same, all are candidates', async t => {
	t.equal(ownerCandidates(gateways(8), 'b').length, 8);
});
