/**
LIMIT: drawn days on which targets name rate limits, at fleets of all sizes.

The days are drawn from seeds and played in virtual time. `TAP_TIMEOUT=0 SEEDS=50
node build/test/entry/rate-limit-days.test.js` plays more of them.
*/
import process from 'node:process';
import {t as file, test} from 'tap';
import {SeededChance} from '../support/seeded-chance.js';
import {VirtualLimitDay} from '../support/virtual-limit-day.js';

const timeoutMilliseconds = 300_000;
file.setTimeout(timeoutMilliseconds);

/** Days of large fleets take longer, so fewer of them are played. */
const seedsOf = (gateways: number): readonly number[] => Array.from({length: Number(process.env.SEEDS ?? (gateways > 31 ? 1 : 3))}, (_, index) => index + 1);

/** Limits between none and more than callers ask for; some targets name none. */
const drawLimits = (seed: number): ReadonlyArray<number | undefined> => {
	const chance = new SeededChance(seed);
	return Array.from({length: 4 + chance.whole(5)}, () => chance.pick([undefined, undefined, 0, 0.4, 3.1, 4.2, 8.6, 20, 60]));
};

for (const gateways of [1, 5, 31, 68]) {
	test(`LIMIT: the limits hold at ${gateways} gateways, whatever happens to them`, async t => {
		for (const seed of seedsOf(gateways)) {
			const day = new VirtualLimitDay({
				seed, gateways, hasTroubles: gateways > 1, limits: drawLimits(seed), load: 200, milliseconds: 24_000,
			});
			await day.run(); // eslint-disable-line no-await-in-loop
			t.strictSame(day.judge.violations, [], `seed ${seed}: ${day.deeds.join(', ')}`);
		}
	});
}

for (const gateways of [1, 5, 68]) {
	test(`LIMIT: limits that change, end and begin again hold at ${gateways} gateways`, async t => {
		for (const seed of seedsOf(gateways)) {
			const day = new VirtualLimitDay({
				seed, gateways, hasTroubles: gateways > 1, hasChanges: true, limits: drawLimits(seed), load: 200, milliseconds: 40_000,
			});
			await day.run(); // eslint-disable-line no-await-in-loop
			t.strictSame(day.judge.violations, [], `seed ${seed}: ${day.deeds.join(', ')}`);
		}
	});

	// Guards against a limit that gateways keep to after its target has dropped it.
	test(`a limit that ends is ended at all of ${gateways} gateways`, async t => {
		for (const limit of [0, 0.4, 4.2]) {
			const day = new VirtualLimitDay({
				seed: 1, gateways, hasTroubles: false, endsAt: 10_000, limits: [limit, limit, undefined, undefined], load: 200, milliseconds: 22_000,
			});
			await day.run(); // eslint-disable-line no-await-in-loop
			// 50 a second each; a target that takes nothing is asked every few seconds whether it does again.
			t.ok(day.freeRequests.every(count => count > 200), `${limit}: ${day.freeRequests.join(' ')} in 12 s`);
		}
	});
}

/** Requests a second at each gateway of a large fleet, as at its intended size. */
const loadPerGateway = 9;

for (const gateways of [1, 5, 31, 68, 370]) {
	test(`the limits are used at ${gateways} gateways while every target has one and callers ask for more`, async t => {
		for (const seed of seedsOf(gateways)) {
			const day = new VirtualLimitDay({
				seed, gateways, hasTroubles: false, limits: [4.2, 8.6, 3.1, 20], load: Math.max(200, gateways * loadPerGateway), milliseconds: 20_000,
			});
			await day.run(); // eslint-disable-line no-await-in-loop
			t.strictSame(day.judge.violations, []);
			for (const {limit, perSecond} of day.usage) {
				t.ok(perSecond > limit * 0.8, `${perSecond.toFixed(2)} of ${limit} a second`);
			}
		}
	});
}
