/**
The base rates of a service's engines, learned from the observations of all of them.
*/
import {test} from 'tap';
import {ServiceRates} from '../../../source/decisions/capacity/service-rates.js';
import {startingRates} from '../../../source/decisions/capacity/starting-rates.js';
import {latencyModel} from '../../../source/decisions/entry/prompts/latency-model.js';
import {SeededChance} from '../../support/seeded-chance.js';

type Engine = {readonly tokensPerMillisecond: number; readonly millisecondsPerMillionPairs: number; readonly inPlaceSlowdown: number; readonly step: number; readonly perRequest: number};

/** A second of work at a few engines, with noise, network time, and 15 % of it 2.5 times slower. */
const observe = (rates: ServiceRates, chance: SeededChance, engine: Engine): void => {
	for (let now = 0; now < 60_000; now += 1000) {
		const slow = chance.random() < 0.15 ? 2.5 : 1;
		const uncachedTokens = chance.between(2000, 17_000);
		const prefill = latencyModel.prefill(uncachedTokens, 0, engine);
		rates.recordPrefill({uncachedTokens, cachedTokens: 0, milliseconds: (prefill * slow * chance.between(0.97, 1.05)) + 2}, now);
		const estimatedMilliseconds = chance.between(25, 150);
		rates.recordInPlace({estimatedMilliseconds, milliseconds: (estimatedMilliseconds * engine.inPlaceSlowdown * slow * chance.between(0.95, 1.1)) + 30}, now);
		const running = 1 + chance.whole(40);
		rates.recordDecode({running, gapMilliseconds: 16 * (engine.step + (running * engine.perRequest)) * slow * chance.between(0.95, 1.05)}, now);
	}
};

const learn = (engine: Engine, seed: number) => {
	const rates = new ServiceRates();
	const chance = new SeededChance(seed);
	observe(rates, chance, engine);
	return rates.current(60_000);
};

// Guards against decisions that change on deployments whose engines have the rates assumed so far.
test('engines of the usual kind keep the starting rates', t => {
	const usual = {
		...startingRates, step: startingRates.decodeStep.milliseconds, perRequest: startingRates.decodeStep.millisecondsPerRequest,
	};
	for (const seed of [1, 2, 3, 4, 5, 6]) {
		t.strictSame(learn(usual, seed), startingRates, `seed ${seed}`);
	}

	t.end();
});

test('without observations, and after observations that say nothing, the starting rates hold', t => {
	const rates = new ServiceRates();
	t.strictSame(rates.current(0), startingRates);
	for (let now = 0; now < 60_000; now += 500) {
		rates.recordDecode({running: 4, gapMilliseconds: Number.NaN}, now);
		rates.recordDecode({running: 4, gapMilliseconds: 900}, now);
		rates.recordPrefill({uncachedTokens: 100, cachedTokens: 0, milliseconds: 1e9}, now);
	}

	t.strictSame(rates.current(60_000), startingRates);
	t.end();
});

// Guards against prompts that avoid engines for running requests that add nothing to a step there, or for a prefill in place that is faster than assumed.
test('engines on which a request adds hardly anything to a step, and which prefill in place at half the speed, are recognised', t => {
	const first = learn({
		tokensPerMillisecond: 61.8, millisecondsPerMillionPairs: 0.367, inPlaceSlowdown: 2, step: 3.09, perRequest: 0.0165,
	}, 7);
	t.ok(first.decodeStep.millisecondsPerRequest < 0.06, String(first.decodeStep.millisecondsPerRequest));
	t.ok(Math.abs(first.inPlaceSlowdown - 2) < 0.25, String(first.inPlaceSlowdown));
	t.equal(first.tokensPerMillisecond, startingRates.tokensPerMillisecond, 'a prefill takes as long as assumed, to within 15 %');
	const second = learn({
		tokensPerMillisecond: 64.2, millisecondsPerMillionPairs: 0.647, inPlaceSlowdown: 2, step: 4.23, perRequest: 0.0008,
	}, 8);
	t.ok(second.decodeStep.millisecondsPerRequest < 0.04, String(second.decodeStep.millisecondsPerRequest));
	t.end();
});

test('engines that prefill at twice the rate are recognised', t => {
	const {tokensPerMillisecond} = learn({
		...startingRates, tokensPerMillisecond: 122.8, step: 4.55, perRequest: 0.181,
	}, 9);
	t.ok(tokensPerMillisecond > 100 && tokensPerMillisecond < 145, String(tokensPerMillisecond));
	t.end();
});
