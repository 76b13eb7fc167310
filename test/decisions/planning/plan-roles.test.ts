/**
Role planning follows demand shifts, ignores noise, keeps the minimums, and changes the least loaded engine.
*/
import process from 'node:process';
import fc from 'fast-check';
import * as option from 'fp-ts/lib/Option.js';
import {test} from 'tap';
import {planRoles} from '../../../source/decisions/planning/plan-roles.js';
import type {PlannedEngine} from '../../../source/decisions/planning/planned-engine.js';
import type {PlannerState} from '../../../source/decisions/planning/planner-state.js';
import {planVersion} from '../../../source/decisions/planning/plan-version.js';
import {capacityRatio} from '../../../source/decisions/planning/capacity-ratio.js';
import type {EngineRole} from '../../../source/generated/messages.js';
import {rolePolicy} from '../../../source/leading/role-policy.js';

const seed = Number(process.env.SEED ?? 20_261_204);
const numberRuns = Number(process.env.RUNS ?? 200);
const {policy, speed} = rolePolicy({goodputWeight: 0.5, minimumPrefill: 1, minimumDecode: 1});

const engine = (name: string, role: EngineRole, change: Partial<PlannedEngine> = {}): PlannedEngine => ({
	name, role, availabilityZone: 'a', pendingWork: 0, isReady: true, isChanging: false, ...change,
});
const fleet = (): PlannedEngine[] => Array.from({length: 8}, (_, index) => engine(`engine-${index}`, index < 4 ? 'prefill' : 'decode', {
	pendingWork: index * 10, availabilityZone: index % 2 === 0 ? 'a' : 'b',
}));

/** Plans once per simulated second, applies every role change at once, and returns the changes. */
const simulate = (engines: PlannedEngine[], demandAt: (second: number) => {readonly prefill: number; readonly decode: number}, seconds: number): readonly string[] => {
	let state: option.Option<PlannerState> = option.none;
	const changes: string[] = [];
	for (let second = 0; second < seconds; second++) {
		const plan = planRoles(state, {
			demand: demandAt(second), engines, policy, speed,
		}, second * 1000);
		state = option.some(plan.state);
		if (option.isSome(plan.change)) {
			const {engine: name, role} = plan.change.value;
			changes.push(`${second}: ${name} to ${role}`);
			const index = engines.findIndex(candidate => candidate.name === name);
			engines[index] = {...engines[index]!, role};
		}
	}

	return changes;
};

test('a lasting demand shift changes roles, of the least loaded engine first', async t => {
	const changes = simulate(fleet(), second => second < 30 ? {prefill: 40_000, decode: 4000} : {prefill: 110_000, decode: 1000}, 120);
	t.ok(changes.length > 0);
	t.match(changes[0], /engine-4 to/);
});

test('noise alone changes no role', async t => {
	fc.assert(fc.property(fc.array(fc.double({min: 0.7, max: 1.3, noNaN: true}), {minLength: 120, maxLength: 120}), noise =>
		simulate(fleet(), second => ({prefill: 45_000 * (noise[second] ?? 1), decode: 5000 * (2 - (noise[second] ?? 1))}), 120).length === 0), {seed, numRuns: numberRuns});
	t.pass(`seed ${seed}, ${numberRuns} runs`);
});

test('minimums, the limit on concurrent changes and readiness hold for any demand', async t => {
	const demand = fc.record({prefill: fc.double({min: 0, max: 500_000, noNaN: true}), decode: fc.double({min: 0, max: 50_000, noNaN: true})});
	fc.assert(fc.property(fc.array(demand, {minLength: 1, maxLength: 60}), demands => {
		const engines = fleet();
		simulate(engines, second => demands[Math.floor(second / 5)] ?? {prefill: 0, decode: 0}, demands.length * 5);
		const prefill = engines.filter(({role}) => role !== 'decode').length;
		const decode = engines.filter(({role}) => role !== 'prefill').length;
		return prefill >= policy.minimumPrefill && decode >= policy.minimumDecode;
	}), {seed, numRuns: numberRuns});
	const busy = fleet().map((item, index) => ({...item, isChanging: index === 7}));
	t.same(simulate(busy, () => ({prefill: 200_000, decode: 10}), 60), [], 'one change at a time');
	const unready = fleet().map(item => ({...item, isReady: false}));
	t.same(simulate(unready, () => ({prefill: 200_000, decode: 10}), 60), [], 'no order to an engine that has not settled');
});

test('the ratio of capacity to demand follows from the throughput of the engines', async t => {
	const none = {prefill: 0, mixed: 0, decode: 0};
	t.equal(capacityRatio({prefill: 18_500, decode: 0}, {...none, prefill: 1}, speed), 1);
	t.ok(Math.abs(capacityRatio({prefill: 9250, decode: 1000}, {...none, prefill: 1}, speed) - 1) < 1e-9);
	t.equal(capacityRatio({prefill: 10, decode: 10}, none, speed), 0);
	t.ok(capacityRatio({prefill: 50_000, decode: 3000}, {...none, prefill: 3, decode: 1}, speed) > capacityRatio({prefill: 50_000, decode: 3000}, {...none, prefill: 1, decode: 3}, speed));
});

test('a new version is rolled out one engine at a time', async t => {
	const versioned = fleet().map(item => ({...item, model: 'm', version: '1'}));
	const first = planVersion(versioned, {model: 'm', version: '2'});
	t.equal(option.toUndefined(first)?.name, 'engine-0');
	t.ok(option.isNone(planVersion(versioned.map((item, index) => ({...item, isChanging: index === 0})), {model: 'm', version: '2'})));
	t.ok(option.isNone(planVersion(versioned, {model: 'm', version: '1'})));
});
