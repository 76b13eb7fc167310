/**
Every way in which a target may answer on a kept connection. CI plays a seeded slice;
`CELLS=all TAP_TIMEOUT=0 node build/test/entry/answer-cells.test.js` plays all of them.
*/
import process from 'node:process';
import fc from 'fast-check';
import {test} from 'tap';
import {answerCells} from '../support/answer-cell.js';
import {AnswerCellPlayer} from '../support/play-answer-cell.js';

const slice = 240;
const seed = Number(process.env.SEED ?? 39);
const progressInterval = 100;

const drawCells = (): typeof answerCells.cells => {
	if (process.env.CELLS === 'all') {
		return answerCells.cells;
	}

	return fc.sample(fc.shuffledSubarray([...answerCells.cells], {minLength: slice, maxLength: slice}), {seed, numRuns: 1})[0]!;
};

// Guards against faults of one kind: bytes that come in a way that the author of a module did not think of.
test('REFUSED, TWICE, MIXED, ORDER, LOST: no way of answering on a kept connection makes a promise untrue or an answer another', {timeout: 240_000}, async t => {
	const player = await AnswerCellPlayer.start(t);
	const cells = drawCells();
	const broken: string[] = [];
	for (const [index, cell] of cells.entries()) {
		broken.push(...await player.play(cell)); // eslint-disable-line no-await-in-loop
		if ((index + 1) % progressInterval === 0) {
			t.comment(`${index + 1} of ${cells.length} cells, ${broken.length} broken`);
		}
	}

	t.strictSame(broken, []);
	t.comment(`${cells.length} cells played, ${broken.length} broken; excluded: ${answerCells.excluded.map(({count, reason}) => `${count}: ${reason}`).join('; ')}`);
});
