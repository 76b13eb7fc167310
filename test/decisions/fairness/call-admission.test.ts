/**
Which calls to an overloaded plain service are refused, also in a simulated overload.
*/
import {test} from 'tap';
import {CallAdmission} from '../../../source/decisions/fairness/call-admission.js';
import {SeededChance} from '../../support/seeded-chance.js';

type Call = Parameters<CallAdmission['decide']>[0];

const call = (attempts: readonly number[], more: Partial<Call> = {}): Call => ({
	targets: attempts.map(each => ({attempts: each, slots: 8})), remainingMilliseconds: 1000, teamPriority: 0, priority: 0, level: 0, isPreferred: false, ...more,
});

const learned = (milliseconds = 100): CallAdmission => {
	const admission = new CallAdmission();
	admission.recordAnswered(milliseconds, {attempts: 1, slots: 8});
	return admission;
};

test('REFUSED: no call is refused while a target has free slots, whatever its deadline', t => {
	const admission = learned();
	t.equal(admission.decide(call([400, 400, 7], {remainingMilliseconds: 1, level: 20, priority: 5}), 0).kind, 'admit');
	t.equal(admission.decide(call([15, 15], {remainingMilliseconds: 1}), 0).kind, 'admit', 'nor while targets are a little over their slots');
	t.equal(new CallAdmission().decide(call([400, 400]), 0).kind, 'admit', 'nor before a work time is known');
	t.equal(admission.decide(call([]), 0).kind, 'admit', 'nor without targets, which has its own result code');
	t.end();
});

test('a call that its targets would answer only after its deadline is refused at once, with the time until they can take work again', t => {
	const admission = learned();
	t.equal(admission.decide(call([64, 72]), 0).kind, 'admit', 'answered in 0.8 s of the 1 s that it has');
	t.match(admission.decide(call([88, 88]), 0), {kind: 'refuse', expectedMilliseconds: 1100, waitMilliseconds: 1000});
	t.equal(admission.decide(call([88, 88], {remainingMilliseconds: 3000}), 0).kind, 'admit');
	t.end();
});

test('less urgent calls are refused first, and of the same rank those of teams above their share', t => {
	const admission = learned();
	const load = [64, 64];
	t.equal(admission.decide(call(load), 0).kind, 'admit');
	t.equal(admission.decide(call(load, {priority: 1}), 0).kind, 'refuse', 'urgent calls are in use');
	t.equal(admission.decide(call(load, {level: 6}), 0).kind, 'refuse');
	t.equal(admission.decide(call(load, {level: 6, isPreferred: true}), 0).kind, 'admit', 'its team is below the floor, or its caller has come back');
	t.equal(admission.decide(call(load, {priority: 1}), 30_000).kind, 'admit', 'urgent calls are not in use any more');
	t.end();
});

test('the work time is that of a free slot, so that an overload does not make calls look long', t => {
	const admission = new CallAdmission();
	admission.recordAnswered(400, {attempts: 32, slots: 8});
	t.match(admission.decide(call([128, 128]), 0), {kind: 'refuse', expectedMilliseconds: 1600});
	t.end();
});

/** Plays calls of two priorities to targets that run them in order of arrival; returns the shares that were answered in time. */
const simulate = (isAdmitting: boolean): {readonly urgent: number; readonly other: number; readonly late: number} => {
	const chance = new SeededChance(5);
	const admission = learned();
	const freeAt = Array.from({length: 2}, () => Array.from({length: 8}, () => 0));
	const ends: number[][] = [[], []];
	const counts = {
		urgent: [0, 0], other: [0, 0], late: 0,
	};
	for (let now = 0; now < 20_000; now += 3) {
		// 333 calls per second for targets that run 160.
		const priority = chance.random() < 0.3 ? 0 : 1;
		const tally = priority === 0 ? counts.urgent : counts.other;
		tally[0]!++;
		const loads = ends.map((each, target) => {
			ends[target] = each.filter(end => end > now);
			return {attempts: ends[target]?.length ?? 0, slots: 8};
		});
		if (isAdmitting && admission.decide({...call([]), targets: loads, priority}, now).kind === 'refuse') {
			continue;
		}

		const target = loads[0]!.attempts <= loads[1]!.attempts ? 0 : 1;
		const slots = freeAt[target]!;
		const slot = slots.indexOf(Math.min(...slots));
		slots[slot] = Math.max(now, slots[slot]!) + chance.between(60, 140);
		ends[target]!.push(slots[slot]);
		const milliseconds = slots[slot] - now;
		if (milliseconds <= 1000) {
			tally[1]!++;
		} else {
			counts.late++;
		}
	}

	return {urgent: counts.urgent[1]! / counts.urgent[0]!, other: counts.other[1]! / counts.other[0]!, late: counts.late};
};

test('in an overload of twice the capacity, urgent calls are answered in time and the targets work for callers that still wait', t => {
	const before = simulate(false);
	const after = simulate(true);
	t.ok(before.urgent < 0.2, `${before.urgent} when all are sent`);
	t.ok(after.urgent > 0.95, `${after.urgent} of the urgent`);
	t.ok(after.other > 0.2, `${after.other} of the others: the capacity that is left is used`);
	t.ok(after.late < before.late / 20, `${after.late} answered too late, ${before.late} when all are sent`);
	t.end();
});
