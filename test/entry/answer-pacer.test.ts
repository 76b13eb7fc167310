/**
Pauses the reading of an answer, and resumes it when it is its turn, unless its caller does not keep up.
*/
import {test} from 'tap';
import {AnswerPacer} from '../../source/entry/answer-pacer.js';
import {LoopActivity} from '../../source/entry/loop-activity.js';
import {ReadingGate} from '../../source/entry/reading-gate.js';
import {VirtualTime} from '../support/virtual-time.js';

const start = () => {
	const time = new VirtualTime();
	const counts = new Map<string, number>();
	const activity = new LoopActivity(() => time.now);
	const pacer = new AnswerPacer({
		now: () => time.now,
		timers: time,
		metrics: {
			count(name) {
				counts.set(name, (counts.get(name) ?? 0) + 1);
			},
		},
		activity,
	});
	const events: string[] = [];
	const addGate = (name: string): ReadingGate => new ReadingGate({
		pause() {
			events.push(`${name} paused`);
		},
		resume() {
			events.push(`${name} resumed`);
		},
	});
	return {
		time, counts, activity, pacer, events, addGate,
	};
};

test('answers that take much pause and go on one after the other', async t => {
	const {time, counts, activity, pacer, events, addGate} = start();
	const [first, second] = [addGate('first'), addGate('second')];
	pacer.recordRead(first, 65_536, 20);
	pacer.recordRead(second, 65_536, 20);
	t.strictSame(events, ['first paused', 'second paused']);
	t.equal(pacer.waitingCount, 2);
	t.equal(counts.get('answer.paused'), 2);
	t.match(activity.takeLongest(), {name: 'answer', size: 65_536, milliseconds: 20});
	await time.run(61);
	t.strictSame(events.slice(2), ['first resumed', 'second resumed']);
	t.equal(pacer.waitingCount, 0);
});

// Guards against reading on for a caller that does not keep up, and against resuming a connection that carries another answer by then.
test('an answer is read while nobody holds it back, and not touched after its end', async t => {
	const {time, pacer, events, addGate} = start();
	const [slow, ended] = [addGate('slow'), addGate('ended')];
	slow.hold('caller');
	pacer.recordRead(slow, 1, 30);
	pacer.recordRead(ended, 1, 30);
	ended.close();
	pacer.remove(ended);
	t.strictSame(events.splice(0), ['slow paused', 'slow paused', 'ended paused', 'ended resumed'], 'what ends is read on, for the next answer');
	await time.run(200);
	t.notOk(events.includes('slow resumed'));
	slow.release('caller');
	t.strictSame(events.filter(event => event.endsWith('resumed')), ['slow resumed']);
	ended.release('gateway');
	t.notOk(events.includes('ended resumed'));
});
