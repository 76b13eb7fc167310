/**
What is learned of targets of three speeds, and of targets that slow down before they are full.
*/
import {test} from 'tap';
import {LearnedCapacity} from '../../../source/decisions/capacity/learned-capacity.js';
import {startingRates} from '../../../source/decisions/capacity/starting-rates.js';
import {SeededChance} from '../../support/seeded-chance.js';

const speeds = [0.6, 1, 1.6] as const;

const plainTarget = (index: number, born = 1) => ({
	incarnation: `i-${index} ${born}`, service: 's', role: undefined, slots: 16,
});

const engine = (index: number, role: 'prefill' | 'decode', born = 1) => ({
	incarnation: `e-${index} ${born}`, service: 'models', role, slots: 64,
});

const chanceTime = (chance: SeededChance): number => Math.exp(chance.between(-0.4, 0.4));

/** One call at each target every 600 ms, as one of 29 gateways sees it. */
const playCalls = (capacity: LearnedCapacity, chance: SeededChance, play: {readonly from: number; readonly until: number; readonly speeds: readonly number[]}): void => {
	for (let now = play.from; now < play.until; now += 600) {
		for (const [index, speed] of play.speeds.entries()) {
			capacity.recordCall(plainTarget(index), {milliseconds: 40 / speed * chanceTime(chance), running: chance.whole(4)}, now);
		}
	}
};

const speedsOf = (capacity: LearnedCapacity, now: number): readonly number[] => speeds.map((_, index) => capacity.of(plainTarget(index), now).speed);

const isNear = (value: number, expected: number): boolean => value > expected / 1.25 && value < expected * 1.25;

// Guards against equal shares for targets of different speeds, and against a gateway that takes minutes to learn them after a restart.
test('the speeds of plain targets are known after a few seconds of calls', t => {
	const capacity = new LearnedCapacity();
	t.strictSame(speedsOf(capacity, 0), [1, 1, 1]);
	playCalls(capacity, new SeededChance(1), {from: 0, until: 12_000, speeds});
	t.ok(speedsOf(capacity, 12_500).every((speed, index) => isNear(speed, speeds[index]!)), String(speedsOf(capacity, 12_500)));
	t.ok(capacity.of(plainTarget(0), 12_500).confidence > 0.5);
	t.end();
});

// Guards against figures that stay when a machine changes.
test('a change of speed is followed within seconds', t => {
	const capacity = new LearnedCapacity();
	const chance = new SeededChance(2);
	playCalls(capacity, chance, {from: 0, until: 60_000, speeds});
	playCalls(capacity, chance, {from: 60_000, until: 90_000, speeds: [1, 1, 0.6]});
	const learned = speedsOf(capacity, 91_000);
	t.ok(isNear(learned[0]!, 1) && isNear(learned[2]!, 0.6), String(learned));
	t.end();
});

// Guards against a target that loses its share for one slow request or for slow phases.
test('slow requests, and slow phases of 15 % of the time, change nothing', t => {
	const capacity = new LearnedCapacity();
	const chance = new SeededChance(3);
	playCalls(capacity, chance, {from: 0, until: 30_000, speeds: [1, 1, 1]});
	capacity.recordCall(plainTarget(1), {milliseconds: 4000, running: 1}, 30_000);
	t.strictSame(speedsOf(capacity, 31_000), [1, 1, 1]);
	for (let now = 31_000; now < 60_000; now += 600) {
		for (const index of [0, 1, 2]) {
			capacity.recordCall(plainTarget(index), {milliseconds: 40 * chanceTime(chance) * (chance.random() < 0.15 ? 2.5 : 1), running: 1}, now);
		}

		t.strictSame(speedsOf(capacity, now), [1, 1, 1]);
	}

	t.end();
});

// Guards against speeds and limits that change only because nobody sends requests, and against old figures that count for good.
test('without requests the speed stays at first, and its confidence falls; after a minute the target is ordinary again', t => {
	const capacity = new LearnedCapacity();
	playCalls(capacity, new SeededChance(4), {from: 0, until: 20_000, speeds});
	const before = speedsOf(capacity, 20_500);
	const {confidence} = capacity.of(plainTarget(0), 20_500);
	t.ok(speedsOf(capacity, 35_000).every((speed, index) => isNear(speed, before[index]!)));
	t.ok(capacity.of(plainTarget(0), 35_000).confidence < confidence);
	t.strictSame(speedsOf(capacity, 200_000), [1, 1, 1]);
	t.end();
});

// Guards against figures of a target that are taken for those of its successor.
test('a restarted target is learned from the start, and gets a slow start beside targets that differ', t => {
	const capacity = new LearnedCapacity();
	playCalls(capacity, new SeededChance(5), {from: 0, until: 10_000, speeds});
	t.notOk(speedsOf(capacity, 10_000).every(speed => speed === 1));
	playCalls(capacity, new SeededChance(5), {from: 10_000, until: 20_000, speeds});
	const restarted = plainTarget(2, 2);
	t.match(capacity.of(restarted, 20_000), {speed: 1, confidence: 0, limit: 4});
	for (let now = 20_000; now < 28_000; now += 600) {
		capacity.recordCall(restarted, {milliseconds: 25, running: 1}, now);
	}

	t.equal(capacity.of(restarted, 28_500).limit, undefined);
	capacity.keepOnly(new Set([restarted.incarnation]));
	t.equal(capacity.of(plainTarget(0), 29_500).confidence, 0);
	t.end();
});

const playSlowingCalls = (capacity: LearnedCapacity, chance: SeededChance, {from, until, most}: {readonly from: number; readonly until: number; readonly most: number}): void => {
	for (let now = from; now < until; now += 300) {
		const running = chance.whole(most);
		capacity.recordCall(plainTarget(0), {milliseconds: 40 * chanceTime(chance) * Math.max(1, (running + 1) / 5), running}, now);
		capacity.recordCall(plainTarget(1), {milliseconds: 40 * chanceTime(chance), running}, now);
	}
};

// Guards against a target of 16 slots that is filled although it slows down from the sixth call on.
test('the limit of a target that slows down before it is full is learned, does not count as speed, and is tried anew later', t => {
	const capacity = new LearnedCapacity();
	const chance = new SeededChance(6);
	playSlowingCalls(capacity, chance, {from: 0, until: 25_000, most: 12});
	const {limit = 16, speed} = capacity.of(plainTarget(0), 25_500);
	t.ok(limit >= 4 && limit <= 9, String(limit));
	t.equal(speed, 1);
	t.equal(capacity.of(plainTarget(1), 25_500).limit, undefined);
	playSlowingCalls(capacity, chance, {from: 25_000, until: 90_000, most: 4});
	t.equal(capacity.of(plainTarget(0), 91_000).limit, undefined);
	t.end();
});

// Guards against a target that refuses calls beyond a number and gets them all the same.
test('refusals count as a limit', t => {
	const capacity = new LearnedCapacity();
	const chance = new SeededChance(7);
	playSlowingCalls(capacity, chance, {from: 0, until: 15_000, most: 4});
	for (let now = 15_000; now < 20_000; now += 400) {
		capacity.recordRefusal(plainTarget(1), 8, now);
	}

	t.equal(capacity.of(plainTarget(1), 20_500).limit, 8);
	t.end();
});

// Guards against work for a target that is slow at the moment, and against a target whose figure is always wrong.
test('a fresh slowdown counts for a moment, compared with what the target usually reports', t => {
	const capacity = new LearnedCapacity();
	const report = (index: number, slowdown: number, now: number): void => {
		capacity.recordLoad(plainTarget(index), {
			running: 3, waiting: 1, slots: 16, slowdown,
		}, now);
	};

	for (let now = 0; now < 10_000; now += 200) {
		report(0, 1, now);
		report(1, 3, now);
	}

	report(0, 2.5, 10_000);
	report(1, 3, 10_000);
	t.strictSame(capacity.of(plainTarget(0), 10_100).reported, {requests: 4, slowdown: 2.5});
	t.strictSame(capacity.of(plainTarget(1), 10_100).reported, {requests: 4, slowdown: 1});
	t.strictSame(capacity.of(plainTarget(0), 11_000).reported, {requests: 0, slowdown: 1});
	t.end();
});

// Guards against speeds that are forgotten under lasting load, when no prompt finds an idle engine.
test('the speed of prefill engines is learned from prompts with a known backlog ahead of them', t => {
	const capacity = new LearnedCapacity();
	const chance = new SeededChance(10);
	for (let now = 0; now < 60_000; now += 3000) {
		for (const [index, speed] of speeds.entries()) {
			const [estimatedMilliseconds, backlogMilliseconds] = [chance.between(100, 200), chance.between(60, 100)];
			capacity.recordPrefill(engine(index, 'prefill'), {
				uncachedTokens: 6000, cachedTokens: 0, estimatedMilliseconds, backlogMilliseconds, milliseconds: (estimatedMilliseconds + (backlogMilliseconds * chance.between(0.3, 1.2))) / speed,
			}, now);
		}
	}

	const learned = speeds.map((_, index) => capacity.of(engine(index, 'prefill'), 60_500).speed);
	t.ok(learned.every((speed, index) => isNear(speed, speeds[index]!)), String(learned));
	t.end();
});

// Guards against long prompts on slow engines, and against speeds that are learned from waiting.
test('the speed of prefill engines is learned from long prompts with nothing ahead of them', t => {
	const capacity = new LearnedCapacity();
	const chance = new SeededChance(8);
	const prefill = (index: number, speed: number, work: {readonly estimate: number; readonly backlog: number; readonly wait: number}, now: number): void => {
		capacity.recordPrefill(engine(index, 'prefill'), {
			uncachedTokens: work.estimate * 61.4, cachedTokens: 0, estimatedMilliseconds: work.estimate, backlogMilliseconds: work.backlog, milliseconds: (work.estimate / speed * chance.between(0.95, 1.1)) + work.wait + 3,
		}, now);
	};

	t.equal(capacity.of(engine(7, 'prefill'), 0).speed, 1);
	for (let now = 0; now < 12_000; now += 1000) {
		for (const [index, speed] of speeds.entries()) {
			prefill(index, speed, {estimate: chance.between(60, 300), backlog: 0, wait: 0}, now);
			prefill(index, speed, {estimate: 100, backlog: 200, wait: 900}, now + 100);
			prefill(index, speed, {estimate: 4, backlog: 0, wait: 0}, now + 200);
		}
	}

	const learned = speeds.map((_, index) => capacity.of(engine(index, 'prefill'), 13_000).speed);
	t.ok(learned.every((speed, index) => isNear(speed, speeds[index]!)), String(learned));
	t.equal(capacity.of(engine(7, 'prefill'), 13_000).speed, 1, 'known to the gateway from the start');
	t.ok(capacity.of(engine(8, 'prefill', 2), 20_000).speed < 0.75, 'a new engine counts as slow at first');
	t.end();
});

test('the speed of decode engines is learned from the time between events, whatever the number of requests', t => {
	const capacity = new LearnedCapacity();
	const chance = new SeededChance(9);
	for (let now = 0; now < 10_000; now += 500) {
		for (const [index, speed] of speeds.entries()) {
			const running = 1 + chance.whole(30);
			capacity.recordDecode(engine(index, 'decode'), {gapMilliseconds: 16 * (4.55 + (running * 0.181)) / speed * chance.between(0.9, 1.2), running}, now);
		}
	}

	const learned = speeds.map((_, index) => capacity.of(engine(index, 'decode'), 10_500).speed);
	t.ok(learned.every((speed, index) => isNear(speed, speeds[index]!)), String(learned));
	t.end();
});

// Guards against figures that are not numbers, from a clock or a header gone wrong.
test('impossible observations change nothing', t => {
	const capacity = new LearnedCapacity();
	for (const milliseconds of [Number.NaN, -5, 0, Number.POSITIVE_INFINITY]) {
		capacity.recordCall(plainTarget(0), {milliseconds, running: 1}, 0);
		capacity.recordCall(plainTarget(1), {milliseconds: 10, running: milliseconds}, 0);
		capacity.recordDecode(engine(0, 'decode'), {gapMilliseconds: milliseconds, running: 1}, 0);
		capacity.recordPrefill(engine(0, 'prefill'), {
			uncachedTokens: 1, cachedTokens: 0, estimatedMilliseconds: 100, backlogMilliseconds: 0, milliseconds,
		}, 0);
	}

	t.equal(capacity.of(plainTarget(0), 10).confidence, 0);
	t.equal(capacity.of(engine(0, 'decode'), 10).confidence, 0);
	t.equal(capacity.of(engine(0, 'prefill'), 10).confidence, 0);
	t.end();
});

// Guards against deployments whose targets are served by figures that their operators did not ask to be learned.
test('nothing is learned until a target reports how slow it is', t => {
	const capacity = new LearnedCapacity({waitsForReport: true});
	const engines = ['fast', 'slow'].map(id => ({
		incarnation: `${id} 1`, service: 'model', role: 'prefill' as const, slots: 8,
	}));
	const observe = (now: number): void => {
		for (const [index, engine] of engines.entries()) {
			capacity.recordPrefill(engine, {
				uncachedTokens: 6000, cachedTokens: 0, estimatedMilliseconds: 100, backlogMilliseconds: 0, milliseconds: index === 0 ? 100 : 250,
			}, now);
		}
	};

	const report = (slowdown: number | undefined): void => {
		capacity.recordLoad(engines[0]!, {
			running: 1, waiting: 0, slots: 8, slowdown,
		}, 20_000);
	};

	for (let now = 0; now < 20_000; now += 500) {
		observe(now);
	}

	report(undefined);
	t.ok(engines.every(engine => capacity.of(engine, 20_000).speed === 1));
	t.equal(capacity.rates('model', 20_000), startingRates);
	report(1);
	for (let now = 21_000; now < 41_000; now += 500) {
		observe(now);
	}

	t.ok(capacity.of(engines[1]!, 42_000).speed < 0.8 || capacity.of(engines[0]!, 42_000).speed > 1.25);
	t.end();
});
