/**
How much of its time a gateway spends on passes over a long queue, in a simulated burst.
*/
import {test} from 'tap';
import {queuePassPause} from '../../../source/decisions/entry/prompts/queue-pass-pause.js';

const millisecondsPerPrompt = 0.15;
const requestMilliseconds = 5;
const requestGapMilliseconds = 6;
const fixedPauseMilliseconds = 8;

/**
Plays a burst on one processor: requests arrive faster than engines take prompts, so the
queue holds 80 prompts. Returns how late requests are read at the end of it.
*/
const playBurst = (pauseAfter: (passMilliseconds: number) => number): {readonly readDelay: number; readonly passShare: number} => {
	const burstMilliseconds = 4000;
	const passMilliseconds = 80 * millisecondsPerPrompt;
	let now = 0;
	let nextPassAt = 0;
	let read = 0;
	let passTime = 0;
	while (now < burstMilliseconds) {
		const isRequestWaiting = read * requestGapMilliseconds <= now;
		if (now >= nextPassAt) {
			now += passMilliseconds;
			passTime += passMilliseconds;
			nextPassAt = now + pauseAfter(passMilliseconds);
		} else if (isRequestWaiting) {
			now += requestMilliseconds;
			read++;
		} else {
			now = Math.min(nextPassAt, read * requestGapMilliseconds);
		}
	}

	return {readDelay: now - (read * requestGapMilliseconds), passShare: passTime / now};
};

test('in a burst, passes over a long queue take a fifth of the time at most, and requests are read sooner than with a fixed pause', t => {
	const fixed = playBurst(() => fixedPauseMilliseconds);
	const adapted = playBurst(queuePassPause);
	t.ok(adapted.passShare <= 0.21, `passes take ${adapted.passShare.toFixed(2)} of the time`);
	t.ok(fixed.passShare > 0.5, `with a fixed pause ${fixed.passShare.toFixed(2)}`);
	t.ok(adapted.readDelay < fixed.readDelay / 2, `requests are read ${adapted.readDelay.toFixed(0)} ms late, ${fixed.readDelay.toFixed(0)} ms with a fixed pause`);
	t.end();
});

test('a pass that takes little time is repeated after a few milliseconds, and none is put off for long', t => {
	t.equal(queuePassPause(0.3), 8);
	t.equal(queuePassPause(5), 20);
	t.equal(queuePassPause(500), 60);
	t.end();
});
