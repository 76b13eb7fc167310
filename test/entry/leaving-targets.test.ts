/**
What gateways believe of targets in a fleet in which few read the store.
*/
import process from 'node:process';
import {test} from 'tap';
import {playDays} from '../support/play-days.js';

const firstSeed = Number(process.env.SEED ?? 1);
const days = Number(process.env.DAYS ?? 40);
/** Days on which the order of lists, the word on them, or the word to gateways that the store turns away is all that keeps the rule. */
const tellingSeeds = [41, 59, 85, 134, 204];

const violations = await playDays([...Array.from({length: days}, (_, index) => firstSeed + index), ...tellingSeeds]);

test('DRAIN: no gateway in touch sends work to a target that left over three seconds ago', t => {
	t.strictSame(violations.filter(({kind}) => kind === 'used after leaving'), []);
	t.end();
});

test('a target that is listed is used by every gateway in touch', t => {
	t.strictSame(violations.filter(({kind}) => kind === 'living and not used'), []);
	t.end();
});

test('targets that live stay usable while their entries have lapsed as the store was away', t => {
	t.strictSame(violations.filter(({kind}) => kind === 'dropped with the store'), []);
	t.end();
});
