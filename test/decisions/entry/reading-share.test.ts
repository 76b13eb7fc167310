/**
Several answers without end, beside small ones, on one event loop.
*/
import {test} from 'tap';
import {ReadingShare} from '../../../source/decisions/entry/answers/reading-share.js';

type Answer = {readonly name: string; read: number; readyAt: number};

const endlessAnswers = 10;
/** Time that it takes to read what has arrived of one endless answer. */
const endlessMilliseconds = 5;
const smallMilliseconds = 0.05;
const smallIntervalMilliseconds = 20;
const playedMilliseconds = 10_000;
/** Time after which each answer has been charged for what it took at first. */
const settledMilliseconds = 1000;

/** Plays an event loop that reads all that it may; returns how long each answer was read. */
const play = () => {
	const share = new ReadingShare<Answer>();
	const endless = Array.from({length: endlessAnswers}, (_, index): Answer => ({name: `endless ${index}`, read: 0, readyAt: 0}));
	const small: Answer = {name: 'small', read: 0, readyAt: 0};
	const paused = new Set<Answer>();
	let now = 0;
	let longestTurn = 0;
	const read = (answer: Answer, milliseconds: number): void => {
		now += milliseconds;
		answer.read += milliseconds;
		if (share.mustPause(answer, milliseconds, now)) {
			paused.add(answer);
		}
	};

	while (now < playedMilliseconds) {
		const startedAt = now;
		const next = share.takeNext(now);
		if (next !== undefined) {
			paused.delete(next);
		}

		for (const answer of endless.filter(candidate => !paused.has(candidate))) {
			read(answer, endlessMilliseconds);
		}

		if (now >= small.readyAt) {
			small.readyAt = now + smallIntervalMilliseconds;
			read(small, smallMilliseconds);
		}

		longestTurn = startedAt < settledMilliseconds ? 0 : Math.max(longestTurn, now - startedAt);
		now += 0.1;
	}

	return {
		endless, small, paused, longestTurn,
	};
};

// Guards against requests at sound targets that wait while the loop reads answers without end.
test('CONFIG: answers without end share half of the time, and a small one beside them is never paused', t => {
	const {endless, small, paused, longestTurn} = play();
	const total = endless.reduce((sum, {read}) => sum + read, 0);
	t.ok(total <= (playedMilliseconds * 0.5) + (endlessAnswers * endlessMilliseconds * 2), `${total} ms of ${playedMilliseconds}`);
	t.ok(total > playedMilliseconds * 0.4, `${total} ms of ${playedMilliseconds}`);
	t.notOk(paused.has(small));
	t.ok(small.read / smallMilliseconds > playedMilliseconds / smallIntervalMilliseconds * 0.7, `${small.read / smallMilliseconds} times`);
	t.ok(longestTurn <= (endlessMilliseconds * 2) + 1, `${longestTurn} ms`);
	t.end();
});

test('answers without end are read by turns', t => {
	const {endless} = play();
	const times = endless.map(({read}) => read);
	t.ok(Math.max(...times) - Math.min(...times) <= endlessMilliseconds * 3, times.join(' '));
	t.end();
});

test('an answer that is read alone goes on as soon as there is time, and one that has ended is forgotten', t => {
	const share = new ReadingShare<string>();
	const answer = 'answer';
	t.equal(share.mustPause(answer, 8, 100), false, 'what was saved up is used');
	t.equal(share.mustPause(answer, 8, 100), true);
	t.equal(share.takeNext(100), undefined);
	t.equal(share.waitMilliseconds(100), 12);
	t.equal(share.takeNext(112), answer);
	t.equal(share.mustPause(answer, 8, 112), true);
	share.remove(answer);
	t.equal(share.waitingCount, 0);
	t.equal(share.takeNext(1000), undefined);
	t.end();
});
