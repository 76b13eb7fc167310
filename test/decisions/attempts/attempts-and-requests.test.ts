/**
Randomised simulation of the request state machines of gateways and the attempt tables of sidecars
on a virtual clock, over links that are cut, silent or slow and on which messages cross each other.
*/
import process from 'node:process';
import fc from 'fast-check';
import {test} from 'tap';
import {LossyFleet} from '../../support/lossy-fleet.js';

const defaultSeed = 20_261_204;
const defaultRuns = 150;
const seed = Number(process.env.SEED ?? defaultSeed);
const numberRuns = Number(process.env.RUNS ?? defaultRuns);

const step = fc.oneof(
	{
		weight: 6, arbitrary: fc.record({
			kind: fc.constant('request' as const), repeatable: fc.boolean(), tokens: fc.integer({min: 1, max: 12}), importance: fc.constantFrom('high' as const, 'normal' as const, 'low' as const),
		}),
	},
	{weight: 12, arbitrary: fc.record({kind: fc.constant('wait' as const), milliseconds: fc.integer({min: 1, max: 2000})})},
	{weight: 2, arbitrary: fc.record({kind: fc.constant('silence' as const), target: fc.nat(2)})},
	{weight: 2, arbitrary: fc.record({kind: fc.constant('cut' as const), target: fc.nat(2)})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('restart sidecar' as const), target: fc.nat(2)})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('kill target' as const), target: fc.nat(2)})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('leave' as const), target: fc.nat(2)})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('unreachable' as const), target: fc.nat(2), milliseconds: fc.integer({min: 100, max: 20_000})})},
);

test('every request gets one correct final answer, and no non-repeatable call runs twice', async t => {
	t.comment(`seed ${seed}, ${numberRuns} runs`);
	fc.assert(fc.property(fc.array(step, {minLength: 5, maxLength: 80}), fc.integer(), (steps, random) => {
		const fleet = new LossyFleet(random);
		for (const next of steps) {
			fleet.step(next);
		}

		fleet.settle();
		fleet.check();
	}), {seed, numRuns: numberRuns});
});
