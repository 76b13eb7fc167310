/**
A long scenario with random faults, each healed after a while.
*/
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {Scenario, ScenarioStep} from '../source/generated/scenario.js';

const engines = 4;
const plain = 3;
const firstFaultSeconds = 4;
const quietSeconds = 10;

type Pair = {readonly fault: ScenarioStep['do']; readonly cure: ScenarioStep['do']; readonly on: readonly string[]};

const names = (prefix: string, count: number, suffix = ''): readonly string[] => Array.from({length: count}, (_, index) => `${prefix}-${index + 1}${suffix}`);

const pairs: readonly Pair[] = [
	{fault: 'silence', cure: 'pass', on: [...names('engine', engines), ...names('floor', plain)]},
	{fault: 'cut', cure: 'pass', on: [...names('engine', engines), ...names('floor', plain)]},
	{fault: 'kill', cure: 'start', on: [...names('engine', engines, '-sidecar'), ...names('floor', plain, '-sidecar')]},
	{fault: 'freeze', cure: 'wake', on: [...names('engine', engines, '-sidecar'), ...names('floor', plain, '-sidecar')]},
	{fault: 'kill', cure: 'start', on: names('engine', engines)},
	{fault: 'outage', cure: 'recover store', on: ['']},
	{fault: 'hang', cure: 'recover store', on: ['']},
	{fault: 'slow', cure: 'recover store', on: ['']},
];

/**
Returns a scenario of the given length; the same seed gives the same faults.

@example
```
makeSoak(120, 7);
```
*/
export const makeSoak = (seconds: number, seed: number): Scenario => {
	const generator = xoroshiro128plus(seed);
	const pick = (limit: number): number => uniformInt(generator, 0, limit - 1);
	const steps: ScenarioStep[] = [];
	for (let at = firstFaultSeconds; at < seconds - quietSeconds; at += 2 + pick(4)) {
		const {fault, cure, on} = pairs[pick(pairs.length)]!;
		const name = on[pick(on.length)]!;
		steps.push({at, do: fault, on: name}, {at: at + 1 + pick(5), do: cure, on: name});
	}

	return {
		name: `soak of ${seconds} s with ${steps.length / 2} random faults`,
		proves: ['each caller gets its own whole answer', '"not run" means not run', 'a bid or booking executes at most once'],
		fleet: {
			gateways: 3, engines, plain, wires: true, callMilliseconds: 30,
		},
		traffic: {
			seconds, dossier: 2, question: 8, bid: 20, price: 10,
		},
		steps,
		expect: {answeredShare: 0.7, enginesMayCrash: true, recoversWithin: 6},
	};
};
