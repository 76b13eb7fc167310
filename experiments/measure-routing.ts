/**
`npm run measure -- routing`: the routing policy against baselines, paired in one run.
*/
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {Importance} from '../source/generated/messages.js';
import {percentile} from './percentile.js';
import {VirtualFleet} from './virtual-fleet.js';

type Case = {
	readonly name: string;
	readonly rate: number;
	readonly reportMilliseconds: number;
	readonly slowness?: readonly number[];
	readonly killZoneAt?: number;
};
type Summary = {
	/** Output tokens a second of requests answered in time. */
	readonly goodput: number;
	/** Ideal engine time of requests answered in time, as a share of all engines' time. */
	readonly work: number;
	readonly late: number;
	readonly dossierShare: number;
	readonly firstToken: number;
	readonly gap: number;
	readonly amplification: number;
	readonly notRun: number;
};

const seed = 20_261_204;
const runMilliseconds = 60_000;
const drainMilliseconds = 30_000;
const engineCount = 12;
const zones = ['munster-a', 'munster-b', 'munster-c', 'munster-d'];
const stepMilliseconds = 10;
const policies = ['ours', 'least loaded', 'round robin'] as const;
/** Requests a second that the twelve mixed engines just sustain with this mix. */
const capacityRate = 85;

const cases: readonly Case[] = [
	{name: 'steady, 0.8 of capacity', rate: 0.8, reportMilliseconds: 500},
	{name: 'at capacity', rate: 1, reportMilliseconds: 500},
	{name: '1.5 of capacity', rate: 1.5, reportMilliseconds: 500},
	{
		name: 'one engine at a third of its speed', rate: 0.8, reportMilliseconds: 500, slowness: [3],
	},
	{
		name: 'one zone of four dies', rate: 0.7, reportMilliseconds: 500, killZoneAt: 20_000,
	},
	{name: 'reports 2 s old', rate: 0.9, reportMilliseconds: 4000},
];

const makeArrival = (random: () => number, number: number) => {
	const isDossier = random() < 0.4;
	const lot = Math.floor(random() * 200);
	const promptTokens = isDossier ? 2000 + Math.floor(random() * 4000) : 40 + Math.floor(random() * 100);
	return {
		label: isDossier ? 'dossier' : 'question',
		importance: (isDossier ? 'high' : 'low') as Importance,
		prompt: isDossier ? `${`lot ${lot} `.repeat(600)}${number}` : `leaf ${number}`,
		promptTokens,
		outputTokens: isDossier ? 40 : 120,
		deadlineMilliseconds: isDossier ? 30_000 : 5000,
		organisation: `team-${Math.floor(random() * 60)}`,
	};
};

const run = (policy: typeof policies[number], {rate, reportMilliseconds, slowness, killZoneAt}: Case): Summary => {
	const fleet = new VirtualFleet({
		seed, gateways: 6, zones, roles: Array.from({length: engineCount}, () => 'mixed'), routing: policy, reportMilliseconds, ...slowness === undefined ? {} : {slowness},
	});
	// Arrivals have a generator of their own, so that all policies get the same ones.
	const generator = xoroshiro128plus(seed);
	const random = (): number => uniformFloat64(generator);
	let due = 0;
	let number = 0;
	while (fleet.now < runMilliseconds) {
		// Poisson arrivals: exponential gaps.
		for (due += stepMilliseconds * rate * capacityRate / 1000; due > 0;) {
			due += Math.log(1 - random());
			number += 1;
			fleet.arrive(makeArrival(random, number));
		}

		fleet.advance(stepMilliseconds);
		if (killZoneAt !== undefined && fleet.now === killZoneAt) {
			fleet.killZone(zones[0]!);
		}
	}

	fleet.advance(drainMilliseconds);
	const answered = fleet.requests.filter(({ending}) => ending === 'answered');
	const dossiers = fleet.requests.filter(({label}) => label === 'dossier');
	return {
		goodput: answered.reduce((total, {outputTokens}) => total + outputTokens, 0) * 1000 / runMilliseconds,
		work: answered.reduce((total, request) => total + idealMilliseconds(request), 0) / (runMilliseconds * engineCount),
		late: fleet.requests.filter(({ending}) => ending === 'lost').length / fleet.requests.length,
		dossierShare: dossiers.filter(({ending}) => ending === 'answered').length / dossiers.length,
		firstToken: percentile(answered.filter(({label}) => label === 'question').map(({firstAt, arrivedAt}) => firstAt - arrivedAt), 95),
		gap: percentile(answered.flatMap(({gaps}) => gaps), 95),
		amplification: fleet.attempts / fleet.requests.length,
		notRun: fleet.requests.filter(({ending}) => ending === 'not run').length / fleet.requests.length,
	};
};

/** Engine time that a request takes on an engine which does only one kind of work at a time. */
const idealMilliseconds = ({promptTokens, outputTokens}: {readonly promptTokens: number; readonly outputTokens: number}): number =>
	(promptTokens / 15.2) + (outputTokens / 2);

/**
Prints a table of all cases and policies.

@example
```
measureRouting();
```
*/
export const measureRouting = (): void => {
	console.log(`seed ${seed}, ${engineCount} mixed engines, 6 gateways, ${runMilliseconds / 1000} s of virtual time a cell`);
	console.log('case | policy | goodput tokens/s | useful work | dossiers answered | question first token p95 ms | gap p95 ms | attempts a request | not run | late');
	for (const item of cases) {
		for (const policy of policies) {
			const {goodput, work, late, dossierShare, firstToken, gap, amplification, notRun} = run(policy, item);
			const figures = [goodput.toFixed(0), work.toFixed(3), dossierShare.toFixed(4), firstToken.toFixed(0), gap.toFixed(1), amplification.toFixed(3), notRun.toFixed(4), late.toFixed(4)];
			console.log([item.name, policy, ...figures].join(' | '));
		}
	}
};
