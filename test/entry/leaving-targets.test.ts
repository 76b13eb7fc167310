/**
Leaving targets in a fleet in which few gateways read the store.
*/
import process from 'node:process';
import {test} from 'tap';
import {VirtualDay} from '../support/virtual-day.js';

const firstSeed = Number(process.env.SEED ?? 1);
const days = Number(process.env.DAYS ?? 40);
/** Days on which the order of lists, or the word on them, is all that keeps the rule. */
const tellingSeeds = [85, 134, 204];

test('DRAIN: no gateway in touch sends work to a target that left over three seconds ago', async t => {
	const seeds = Array.from({length: days}, (_, index) => firstSeed + index);
	for (const seed of [...seeds, ...tellingSeeds]) {
		const day = new VirtualDay({
			seed, gateways: 10, targets: 12, drainMilliseconds: 3000,
		});
		await day.run(); // eslint-disable-line no-await-in-loop
		t.strictSame(day.violations, [], `day ${seed}`);
	}
});
