/**
Which targets gateways use in a large fleet where only a few gateways read the store, on
seeded days in virtual time with overlapping faults.
*/
import process from 'node:process';
import {test} from 'tap';
import {playDays} from '../support/play-days.js';

const firstSeed = Number(process.env.SEED ?? 1);
const days = Number(process.env.DAYS ?? 40);
/** Seeds of days on which a rule holds only because of the order of lists, the freshness reports on them, or the reports to gateways that the store rejects. */
const decisiveSeeds = [41, 59, 85, 134, 204];

const violations = await playDays([...Array.from({length: days}, (_, index) => firstSeed + index), ...decisiveSeeds]);

test('DRAIN: no connected gateway sends work to a target that left more than three seconds ago', t => {
	t.strictSame(violations.filter(({kind}) => kind === 'used after leaving'), []);
	t.end();
});

test('a listed target is used by every connected gateway', t => {
	t.strictSame(violations.filter(({kind}) => kind === 'living and not used'), []);
	t.end();
});

test('live targets stay usable while their entries have expired because the store was unavailable', t => {
	t.strictSame(violations.filter(({kind}) => kind === 'dropped with the store'), []);
	t.end();
});
