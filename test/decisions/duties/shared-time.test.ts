/**
Tests the estimate of true time with wall clocks that differ and jump, and with late messages.
*/
import {test} from 'tap';
import {SharedTime} from '../../../source/decisions/duties/shared-time.js';
import {SeededChance} from '../../support/seeded-chance.js';

const truth = 1_700_000_000_000;

type Clock = {readonly name: string; readonly skew: number; readonly jump: (now: number) => number};

const play = (clocks: readonly Clock[], {until, delay = () => 2, own = () => 0}: {readonly until: number; readonly delay?: (now: number) => number; readonly own?: (now: number) => number}): number => {
	const time = new SharedTime(0);
	let largestError = 0;
	for (let now = 0; now <= until; now += 100) {
		time.recordOwn(truth + now + own(now), now);
		for (const {name, skew, jump} of now % 600 === 0 ? clocks : []) {
			time.recordPeer(name, truth + now - delay(now) + skew + jump(now), now);
		}

		time.update(now);
		largestError = Math.max(largestError, Math.abs((time.offset ?? truth) - truth));
	}

	return largestError;
};

const clocksOf = (count: number, skew: number, jump: Clock['jump'] = () => 0): readonly Clock[] => {
	const chance = new SeededChance(count);
	return Array.from({length: count}, (_, index) => ({name: `gateway-${index}`, skew: chance.between(-skew, skew), jump}));
};

// Guards against requests that are counted in the wrong window because the clock of one VM is off.
test('the differences of many clocks even out', t => {
	t.ok(play(clocksOf(21, 100), {until: 60_000}) < 30);
	t.end();
});

test('a clock that jumps and returns changes nothing', t => {
	const calm = clocksOf(8, 0);
	const jump = (now: number): number => now > 20_000 && now < 40_000 ? 4000 : 0;
	t.ok(play(calm, {until: 60_000, own: jump}) < 10, 'the own clock');
	t.ok(play([...calm, ...clocksOf(3, 0, jump).map(clock => ({...clock, name: `${clock.name} jumps`}))], {until: 60_000}) < 10, 'a few other clocks');
	t.ok(play(clocksOf(8, 0, now => now > 20_000 && now < 30_000 ? 4000 : 0), {until: 60_000}) <= 260, 'most clocks, for ten seconds: the estimate moves slowly');
	t.end();
});

test('a gateway that starts while its own clock is wrong waits for the clocks of its peers', t => {
	const time = new SharedTime(0);
	time.recordOwn(truth + 5000, 0);
	time.update(100);
	t.equal(time.offset, undefined);
	time.recordPeer('gateway-2', truth + 200, 200);
	time.recordPeer('gateway-3', truth + 200, 200);
	time.update(200);
	t.equal(time.offset, truth);
	t.end();
});

// Guards against a process that was frozen and reads all messages of that time at once, which makes all peers seem late.
test('messages that waited together do not move the estimate', t => {
	t.ok(play(clocksOf(8, 0), {until: 60_000, delay: now => now > 20_000 && now < 25_000 ? 5000 : 2}) < 10);
	t.end();
});

test('a lone gateway goes by its own clock after a while, and follows no short jump', t => {
	t.ok(play([], {until: 60_000, own: now => now > 20_000 && now < 26_000 ? -3000 : 0}) < 10);
	t.end();
});
