/**
Decisions on targets of speed 1 whose reports have no fourth figure, against those that the version
before speeds were learned took on the same inputs.

After a change that is meant to alter them, `RECORD=1` writes the present ones in their place.
*/
import fs from 'node:fs';
import process from 'node:process';
import * as option from 'fp-ts/lib/Option.js';
import fc from 'fast-check';
import {test} from 'tap';
import {LearnedCapacity} from '../../../source/decisions/capacity/learned-capacity.js';
import {startingRates} from '../../../source/decisions/capacity/starting-rates.js';
import type {EngineView} from '../../../source/decisions/entry/prompts/engine-view.js';
import {hasCapacity} from '../../../source/decisions/entry/prompts/has-capacity.js';
import {latencyModel} from '../../../source/decisions/entry/prompts/latency-model.js';
import {placeCall} from '../../../source/decisions/entry/targets/place-call.js';
import {placeDecode} from '../../../source/decisions/entry/prompts/place-decode.js';
import {placePrompt} from '../../../source/decisions/entry/prompts/place-prompt.js';
import {SeededChance} from '../../support/seeded-chance.js';

const zone = fc.constantFrom('a', 'b');
const view = fc.record({
	availabilityZone: zone,
	role: fc.constantFrom('prefill' as const, 'decode' as const),
	slots: fc.integer({min: 1, max: 64}),
	attempts: fc.integer({min: 0, max: 70}),
	readMilliseconds: fc.double({min: 0, max: 900, noNaN: true}),
	isAvoided: fc.boolean(),
	failureShare: fc.double({min: 0, max: 1, noNaN: true}),
	cachedTokens: fc.integer({min: 0, max: 20_000}),
});
const engines = fc.array(view, {minLength: 0, maxLength: 8}).map(views => views.map((one, index) => ({...one, id: `e-${index}`})));
const prompt = fc.record({
	tokens: fc.integer({min: 1, max: 40_000}), sharedKey: fc.constantFrom('x', 'y', 'z'), sharedTokens: fc.integer({min: 0, max: 20_000}), bodyBytes: fc.integer({min: 0, max: 200_000}),
});
/** The forms in which a view may say that a target is ordinary. */
const ordinary = fc.constantFrom({}, {speed: 1}, {
	speed: 1, capacity: undefined, slowdown: undefined, callMilliseconds: 40,
});
const isAcceptable = fc.constantFrom(undefined, () => false, () => true);

const recordedPath = 'test/support/decisions-at-speed-1.json';
const decimals = 6;

const rounded = (value: number): number => Number(value.toFixed(decimals));

const idOf = (chosen: option.Option<{readonly id: string}>): string => option.isSome(chosen) ? chosen.value.id : '';

// Guards against earlier deployments that are served otherwise than before.
test('with speed 1, the starting rates and no fourth figure, each decision is as before', t => {
	const decisions: unknown[] = [];
	fc.assert(fc.property(engines, prompt, fc.tuple(ordinary, isAcceptable), fc.integer({min: 1, max: 1_000_000}), (views, asked, [more, accepts], seed) => {
		const extended: EngineView[] = views.map(engine => ({...engine, ...more}));
		const placed = placePrompt(asked, {
			engines: extended,
			availabilityZone: 'a',
			cachedTokens: id => views.find(engine => engine.id === id)!.cachedTokens,
			bytesPerToken: 35_136,
			linkMegabitsPerSecond: 270_000,
			avoid: new Set(['e-3']),
			rates: startingRates,
			...accepts === undefined ? {} : {isAcceptable: accepts},
		});
		const decode = placeDecode({
			engines: extended, availabilityZone: 'a', prefillZone: 'b', bodyBytes: asked.bodyBytes, avoid: new Set(['e-2']), rates: startingRates,
		});
		const call = placeCall({
			targets: extended, availabilityZone: 'a', bodyBytes: asked.bodyBytes, avoid: new Set(['e-1']), random: new SeededChance(seed).random,
		});
		const withCapacity = (['onTime', 'late'] as const).map(lane => extended.filter(engine => hasCapacity(engine, lane)).map(({id}) => id).join(' '));
		const figures = option.isSome(placed)
			? [placed.value.engine.id, placed.value.way, placed.value.fetchFrom?.id ?? '', placed.value.cachedTokens, rounded(placed.value.readMilliseconds), rounded(placed.value.latency), rounded(placed.value.cost)]
			: [];
		decisions.push([...figures, idOf(decode), idOf(call), ...withCapacity, rounded(latencyModel.prefill(asked.tokens, asked.sharedTokens))]);
	}), {seed: 41, numRuns: 400});
	if (process.env.RECORD === '1') {
		fs.writeFileSync(recordedPath, `[\n${decisions.map(decision => JSON.stringify(decision)).join(',\n')}\n]\n`);
	}

	t.strictSame(decisions, JSON.parse(fs.readFileSync(recordedPath, 'utf8')));
	t.end();
});

// Guards against speeds that follow chance on a deployment whose targets are all alike, and against reports of three figures that change decisions.
test('targets that are alike keep speed 1, no limit and no report, although their outcomes differ by chance', t => {
	const chance = new SeededChance(11);
	const capacity = new LearnedCapacity();
	const targets = Array.from({length: 5}, (_, index) => ({
		incarnation: `i-${index} 1`, service: 's', role: undefined, slots: 8,
	}));
	for (let now = 0; now < 60_000; now += 100) {
		const target = chance.pick(targets);
		const running = chance.whole(8);
		capacity.recordCall(target, {milliseconds: 40 * Math.exp(chance.between(-0.8, 0.8)), running}, now);
		capacity.recordLoad(target, {
			running, waiting: 0, slots: 8, slowdown: undefined,
		}, now);
		t.match(capacity.of(target, now), {speed: 1, limit: undefined, reported: undefined});
	}

	t.end();
});
