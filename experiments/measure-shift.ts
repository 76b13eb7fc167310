/**
`npm run measure -- shift`: role planning against baselines as the mix shifts.

A day's swing is compressed into minutes. All policies get the same arrivals, the
same routing and the same admission; only the role changes differ.
*/
import * as option from 'fp-ts/lib/Option.js';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {planRoles} from '../source/decisions/planning/plan-roles.js';
import type {PlannerState} from '../source/decisions/planning/planner-state.js';
import {capacityRatio} from '../source/decisions/planning/capacity-ratio.js';
import type {EngineRole, Importance} from '../source/generated/messages.js';
import {OfferedDemand} from '../source/leading/offered-demand.js';
import {rolePolicy} from '../source/leading/role-policy.js';
import {VirtualFleet} from './virtual-fleet.js';

type Policy = 'planner, weight 0.8' | 'planner, weight 0.3' | 'static' | 'threshold' | 'oracle';
type Trace = {readonly name: string; readonly prefillShare: (seconds: number, random: () => number) => number};
type Demand = {readonly prefill: number; readonly decode: number};
type Memory = {readonly offered: OfferedDemand; planner: option.Option<PlannerState>};
type Counts = Record<EngineRole, number>;

const seed = 20_261_204;
const engineCount = 8;
const zones = ['lhr-a', 'lhr-b', 'lhr-c'];
const runSeconds = 240;
const drainMilliseconds = 20_000;
const stepMilliseconds = 20;
const planMilliseconds = 1000;
const startRoles: readonly EngineRole[] = Array.from({length: engineCount}, (_, index) => index % 2 === 0 ? 'prefill' : 'decode');
/** Engine time that the traffic asks for, as a share of all engines at their best. */
const loadShare = 0.85;

const {speed} = rolePolicy({goodputWeight: 0.5});

const traces: readonly Trace[] = [
	{name: 'step', prefillShare: seconds => seconds < 60 ? 0.35 : 0.85},
	{name: 'ramp', prefillShare: seconds => 0.2 + (0.65 * Math.min(1, seconds / 200))},
	{name: 'sine, 160 s', prefillShare: seconds => 0.5 + (0.35 * Math.sin(2 * Math.PI * seconds / 160))},
	{name: 'spike, 15 s', prefillShare: seconds => seconds > 120 && seconds < 135 ? 0.9 : 0.5},
	{name: 'noise', prefillShare: (_seconds, random) => 0.5 + (0.25 * (random() - 0.5))},
	{name: 'half-swing of a day', prefillShare: seconds => 0.43 + (0.215 * Math.sin(2 * Math.PI * seconds / 240))},
];

const dossierTokens = 4000;
const dossierOutput = 30;
const questionTokens = 80;
const questionOutput = 160;

/** Requests a second of both kinds whose engine time divides as the share says. */
const ratesFor = (prefillShare: number): {readonly dossier: number; readonly question: number} => {
	const total = loadShare * engineCount;
	return {
		dossier: total * prefillShare / ((dossierTokens / speed.prefill.prefill) + (dossierOutput / speed.decode.decode)),
		question: total * (1 - prefillShare) / ((questionTokens / speed.prefill.prefill) + (questionOutput / speed.decode.decode)),
	};
};

const demandFor = (prefillShare: number): Demand => {
	const {dossier, question} = ratesFor(prefillShare);
	return {
		prefill: (dossier * dossierTokens) + (question * questionTokens),
		decode: (dossier * dossierOutput) + (question * questionOutput),
	};
};

const countRoles = (fleet: VirtualFleet): Counts => ({
	prefill: fleet.engines.filter(({model, nextRole}) => (nextRole ?? model.role) === 'prefill').length,
	mixed: fleet.engines.filter(({model, nextRole}) => (nextRole ?? model.role) === 'mixed').length,
	decode: fleet.engines.filter(({model, nextRole}) => (nextRole ?? model.role) === 'decode').length,
});

const plannedEngines = (fleet: VirtualFleet) => fleet.engines.map(({name, zone, model, nextRole, table}) => {
	const load = table.load(fleet.now);
	return {
		name, availabilityZone: zone, role: model.role, pendingWork: load.queuedPromptTokens + load.running, isReady: nextRole === undefined, isChanging: nextRole !== undefined,
	};
});

/** Changes one engine towards `role` from the most plentiful other role. */
const changeOne = (fleet: VirtualFleet, from: EngineRole, to: EngineRole): void => {
	const engine = fleet.engines.find(({model, nextRole}) => nextRole === undefined && model.role === from);
	if (engine !== undefined && fleet.engines.every(({nextRole}) => nextRole === undefined)) {
		fleet.changeRole(engine.name, to);
	}
};

/** The plain rule: as many prefill engines as the last second's share of prompt work says. */
const threshold = (fleet: VirtualFleet, demand: Demand): void => {
	const prefill = demand.prefill / speed.prefill.prefill;
	const decode = demand.decode / speed.decode.decode;
	const wanted = Math.min(engineCount - 1, Math.max(1, Math.round(engineCount * prefill / Math.max(0.001, prefill + decode))));
	const counts = countRoles(fleet);
	if (counts.prefill < wanted) {
		changeOne(fleet, 'decode', 'prefill');
	}

	if (counts.prefill > wanted) {
		changeOne(fleet, 'prefill', 'decode');
	}
};

/** Knows the trace: moves towards the best counts for the mix of the next half minute. */
const oracle = (fleet: VirtualFleet, trace: Trace): void => {
	const seconds = fleet.now / 1000;
	const ahead = Array.from({length: 30}, (_, index) => trace.prefillShare(seconds + index, () => 0.5));
	const demand = demandFor(ahead.reduce((total, share) => total + share, 0) / ahead.length);
	const counts = countRoles(fleet);
	const options = (['prefill', 'mixed', 'decode'] as const).flatMap(from => (['prefill', 'mixed', 'decode'] as const)
		.filter(to => to !== from && counts[from] > 0)
		.map(to => ({from, to, share: capacityRatio(demand, {...counts, [from]: counts[from] - 1, [to]: counts[to] + 1}, speed)})));
	const best = options.reduce((most, move) => move.share > most.share ? move : most);
	const current = capacityRatio(demand, counts, speed);
	if (current < 1.25 && best.share > current * 1.02) {
		changeOne(fleet, best.from, best.to);
	}
};

const run = (trace: Trace, policy: Policy) => {
	const fleet = new VirtualFleet({
		seed, gateways: 4, zones, roles: startRoles, routing: 'ours', reportMilliseconds: 500,
	});
	const generator = xoroshiro128plus(seed);
	const random = (): number => uniformFloat64(generator);
	const due = {dossier: 0, question: 0};
	const memory: Memory = {offered: new OfferedDemand(), planner: option.none};
	let number = 0;
	let share = trace.prefillShare(0, random);
	for (let now = 0; now < runSeconds * 1000; now += stepMilliseconds) {
		if (now % 5000 === 0) {
			share = trace.prefillShare(now / 1000, random);
		}

		const rates = ratesFor(share);
		for (const kind of ['dossier', 'question'] as const) {
			for (due[kind] += rates[kind] * stepMilliseconds / 1000; due[kind] > 0;) {
				due[kind] += Math.log(1 - random());
				number += 1;
				const isDossier = kind === 'dossier';
				fleet.arrive({
					label: kind,
					importance: (isDossier ? 'high' : 'low'),
					prompt: `${kind} ${number}`,
					promptTokens: isDossier ? dossierTokens : questionTokens,
					outputTokens: isDossier ? dossierOutput : questionOutput,
					deadlineMilliseconds: isDossier ? 10_000 : 7000,
					organisation: `team-${Math.floor(random() * 40)}`,
				});
			}
		}

		fleet.advance(stepMilliseconds);
		if (fleet.now % planMilliseconds === 0) {
			memory.planner = plan(fleet, policy, trace, memory);
		}
	}

	fleet.advance(drainMilliseconds);
	const answered = fleet.requests.filter(({ending}) => ending === 'answered');
	const value = ({promptTokens, outputTokens}: {readonly promptTokens: number; readonly outputTokens: number}): number =>
		(promptTokens / speed.prefill.prefill) + (outputTokens / speed.decode.decode);
	return {
		goodput: answered.reduce((total, request) => total + value(request), 0) / fleet.requests.reduce((total, request) => total + value(request), 0),
		changes: fleet.roleChanges,
		dossiers: answered.filter(({label}) => label === 'dossier').length / Math.max(1, fleet.requests.filter(({label}) => label === 'dossier').length),
	};
};

const plan = (fleet: VirtualFleet, policy: Policy, trace: Trace, memory: Memory): option.Option<PlannerState> => {
	const demand = memory.offered.observe(fleet.views);
	switch (policy) {
		case 'static': {
			return memory.planner;
		}

		case 'threshold': {
			threshold(fleet, demand);
			return memory.planner;
		}

		case 'oracle': {
			oracle(fleet, trace);
			return memory.planner;
		}

		case 'planner, weight 0.8':
		case 'planner, weight 0.3': {
			const {state, change} = planRoles(memory.planner, {
				demand,
				engines: plannedEngines(fleet),
				...rolePolicy({
					goodputWeight: policy === 'planner, weight 0.8' ? 0.8 : 0.3, minimumPrefill: 1, minimumDecode: 1, changeMilliseconds: VirtualFleet.changeMilliseconds,
				}),
			}, fleet.now);
			if (option.isSome(change)) {
				fleet.changeRole(change.value.engine, change.value.role);
			}

			return option.some(state);
		}
	}
};

/**
Prints a table of all traces and policies.

@example
```
measureShift();
```
*/
export const measureShift = (): void => {
	console.log(`seed ${seed}, ${engineCount} engines, ${runSeconds} s of virtual time a cell, offered load ${loadShare} of the engines' best`);
	console.log('trace | policy | goodput (share of offered work answered in time) | of the oracle | role changes | dossiers answered');
	for (const trace of traces) {
		const best = run(trace, 'oracle');
		for (const policy of ['oracle', 'planner, weight 0.8', 'planner, weight 0.3', 'static', 'threshold'] as const) {
			const {goodput, changes, dossiers} = policy === 'oracle' ? best : run(trace, policy);
			console.log([trace.name, policy, goodput.toFixed(4), (goodput / best.goodput).toFixed(4), changes, dossiers.toFixed(4)].join(' | '));
		}
	}
};
