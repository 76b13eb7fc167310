/**
Randomised runs of leaders and order gates with frozen processes, restarts, engine crashes and store outages.
*/
import process from 'node:process';
import fc from 'fast-check';
import {test} from 'tap';
import {OrderFleet} from '../../support/order-fleet.js';

const seed = Number(process.env.SEED ?? 20_261_204);
const numberRuns = Number(process.env.RUNS ?? 150);

const step = fc.oneof(
	{weight: 10, arbitrary: fc.record({kind: fc.constant('wait' as const), milliseconds: fc.integer({min: 50, max: 8000})})},
	{weight: 3, arbitrary: fc.record({kind: fc.constant('freeze leader' as const), leader: fc.nat(2), milliseconds: fc.integer({min: 100, max: 20_000})})},
	{weight: 2, arbitrary: fc.record({kind: fc.constant('freeze sidecar' as const), sidecar: fc.nat(1), milliseconds: fc.integer({min: 100, max: 15_000})})},
	{weight: 2, arbitrary: fc.record({kind: fc.constant('restart sidecar' as const), sidecar: fc.nat(1)})},
	{weight: 2, arbitrary: fc.record({kind: fc.constant('crash engine' as const), sidecar: fc.nat(1)})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('outage' as const), milliseconds: fc.integer({min: 100, max: 20_000})})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('lose answers' as const), count: fc.integer({min: 1, max: 5})})},
);

test('no engine receives conflicting or unauthorised orders', async t => {
	let executed = 0;
	let takeovers = 0;
	fc.assert(fc.property(fc.array(step, {minLength: 10, maxLength: 60}), fc.integer(), (steps, random) => {
		const fleet = new OrderFleet(random);
		for (const next of steps) {
			fleet.step(next);
		}

		executed += fleet.executed;
		takeovers += fleet.takeovers;
	}), {seed, numRuns: numberRuns});
	t.comment(`seed ${seed}, ${numberRuns} runs, ${executed} orders executed, ${takeovers} leases taken`);
	t.ok(executed > numberRuns, 'the runs do give orders');
	t.ok(takeovers > numberRuns, 'the runs do change leaders');
});
