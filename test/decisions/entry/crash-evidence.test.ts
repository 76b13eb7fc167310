/**
Which parts of prompts are held to crash engines, and which are not.
*/
import {test} from 'tap';
import {CrashEvidence} from '../../../source/decisions/entry/crashes/crash-evidence.js';

const second = 1000;

/** Records a crash a second, each with one prompt with the parts of its row, beside a sound prompt. */
const crash = (evidence: CrashEvidence, prompts: ReadonlyArray<readonly string[]>, from = 0): void => {
	for (const [index, parts] of prompts.entries()) {
		const at = (from + index) * second;
		evidence.recordCrash(`engine-${from + index} 1`, [parts, ['system', `sound-${index}`]], at);
		evidence.recordAnswered(['system'], at + 100);
	}
};

const held = (evidence: CrashEvidence): ReadonlyArray<readonly string[]> => evidence.quarantined.map(({parts}) => parts);

test('a part that is in every crash and in no answer is quarantined from the fourth crash on', async t => {
	const evidence = new CrashEvidence();
	crash(evidence, [['system', 'bad', 'b'], ['system', 'c', 'bad'], ['system', 'bad']]);
	t.strictSame(held(evidence), []);
	crash(evidence, [['system', 'bad', 'd']], 3);
	t.strictSame(held(evidence), [['bad']]);
	t.ok(evidence.find(['system', 'other', 'bad']));
	t.notOk(evidence.find(['system', 'other']));
});

test('a part that always came with the crashing one holds back only prompts with both, until it tells by itself', async t => {
	const evidence = new CrashEvidence();
	crash(evidence, Array.from({length: 4}, () => ['caller', 'bad']));
	t.strictSame(held(evidence), [['bad', 'caller']]);
	t.notOk(evidence.find(['caller', 'sound']));
	evidence.recordAnswered(['caller', 'sound'], 5 * second);
	t.strictSame(held(evidence), [['bad']]);
});

test('a shared part is not held back because it was lost once more than the crashing one', async t => {
	const evidence = new CrashEvidence();
	crash(evidence, [['caller', 'sound'], ...Array.from({length: 4}, () => ['caller', 'bad'])]);
	t.strictSame(held(evidence), [['bad', 'caller']]);
	t.notOk(evidence.find(['caller', 'other']));
});

test('a part that goes on crashing engines without its companion is held back alone', async t => {
	const evidence = new CrashEvidence();
	crash(evidence, [...Array.from({length: 4}, () => ['bad', 'companion']), ['bad', 'b'], ['bad', 'c']]);
	t.strictSame(held(evidence), [['bad']]);
});

test('a sound part that was lost in as many crashes does not take the place of the part that is held', async t => {
	const evidence = new CrashEvidence();
	for (let index = 0; index < 4; index++) {
		evidence.recordCrash(`engine-${index} 1`, [['bad', `own-${index}`], ['bad'], ...index > 0 ? [['sound']] : []], index * second);
	}

	t.strictSame(held(evidence), [['bad']]);
	evidence.recordCrash('engine-4 1', [['sound']], 4 * second);
	t.strictSame(held(evidence), [['bad']]);
	evidence.recordCrash('engine-5 1', [['sound']], 5 * second);
	evidence.recordCrash('engine-6 1', [['sound']], 6 * second);
	t.strictSame(held(evidence), [['sound']]);
});

test('a crashing part stays held though another one explains some of its crashes', async t => {
	const evidence = new CrashEvidence();
	for (let index = 0; index < 4; index++) {
		evidence.recordCrash(`engine-${index} 1`, [['bad'], ...index > 1 ? [['worse']] : []], index * second);
	}

	for (let index = 4; index < 8; index++) {
		evidence.recordCrash(`engine-${index} 1`, [['worse']], index * second);
	}

	t.strictSame(held(evidence).flat().toSorted(), ['bad', 'worse']);
});

test('two crashing parts are both found', async t => {
	const evidence = new CrashEvidence();
	crash(evidence, Array.from({length: 9}, (_, index) => index % 2 === 0 ? ['system', 'bad'] : ['system', 'worse']));
	t.strictSame(held(evidence).flat().toSorted(), ['bad', 'worse']);
});

test('parts that were lost beside a crashing one are explained by it', async t => {
	const evidence = new CrashEvidence();
	for (let index = 0; index < 6; index++) {
		evidence.recordCrash(`engine-${index} 1`, [['bad'], ...index < 5 ? [['rare']] : []], index * second);
	}

	t.strictSame(held(evidence), [['bad']]);
});

test('a part that is answered between crashes is never held back', async t => {
	const evidence = new CrashEvidence();
	for (let index = 0; index < 50; index++) {
		evidence.recordCrash(`engine-${index} 1`, [['part']], index * second);
		evidence.recordAnswered(['part'], (index * second) + 1);
		t.strictSame(held(evidence), []);
	}
});

test('engines that crash at the same moment hold no part back', async t => {
	const evidence = new CrashEvidence();
	for (let index = 0; index < 12; index++) {
		evidence.recordCrash(`engine-${index} 1`, [['new']], index * 20);
	}

	t.strictSame(held(evidence), []);
});

test('a rare part that is lost once in each of several outages of many engines is not held back', async t => {
	const evidence = new CrashEvidence();
	for (let outage = 0; outage < 6; outage++) {
		for (let engine = 0; engine < 5; engine++) {
			evidence.recordCrash(`engine-${engine} ${outage}`, [['system'], ...engine === 2 ? [['rare']] : []], (outage * 5 * second) + engine);
		}

		evidence.recordAnswered(['system'], (outage * 5 * second) + 900);
	}

	t.strictSame(held(evidence), []);
});

test('a shared part that was lost in one crash more is not held back before the crashing one is', async t => {
	const evidence = new CrashEvidence();
	crash(evidence, [['caller', 'sound'], ...Array.from({length: 3}, () => ['caller', 'bad'])]);
	t.strictSame(held(evidence), [['bad', 'caller']]);
});

test('when all engines crash again and again, parts that were answered before are held back late and tried again soon', async t => {
	const evidence = new CrashEvidence();
	evidence.recordAnswered(['system'], 0);
	for (let outage = 1; outage <= 7; outage++) {
		for (let engine = 0; engine < 8; engine++) {
			evidence.recordCrash(`engine-${engine} ${outage}`, [['system']], (outage * 5 * second) + engine);
		}
	}

	t.strictSame(held(evidence), []);
	evidence.recordCrash('engine-0 8', [['system']], 40 * second);
	t.match(evidence.quarantined, [{parts: ['system'], trialDueAt: 50 * second}]);
});

test('the order of news and their repetition do not matter', async t => {
	const first = new CrashEvidence();
	const other = new CrashEvidence();
	const crashes = Array.from({length: 5}, (_, index) => ({name: `engine-${index} 1`, at: index * second}));
	for (const {name, at} of crashes) {
		t.ok(first.recordCrash(name, [['bad', 'caller']], at));
		t.notOk(first.recordCrash(name, [['bad', 'caller']], at + 30));
	}

	first.recordCleared('caller', 10 * second);
	other.recordCleared('caller', 10 * second);
	for (const {name, at} of crashes.toReversed()) {
		other.recordCrash(name, [['caller', 'bad']], at);
	}

	t.strictSame(other.quarantined, first.quarantined);
	t.strictSame(held(first), [['bad']]);
});

test('quarantine lapses long after the last crash, and all of its crashes with it', async t => {
	const evidence = new CrashEvidence();
	crash(evidence, Array.from({length: 4}, () => ['bad']));
	evidence.recordCrash('engine-9 1', [['bad']], 500 * second);
	evidence.forgetOld(1000 * second);
	t.strictSame(held(evidence), [['bad']]);
	evidence.forgetOld(1101 * second);
	t.strictSame(held(evidence), []);
	t.strictSame(evidence.crashes, []);
});

test('a caller cannot make a gateway remember more than a bound', async t => {
	const evidence = new CrashEvidence();
	const long = 'x'.repeat(100);
	for (let index = 0; index < 80; index++) {
		evidence.recordCrash(`engine-${index} 1`, Array.from({length: 100}, (_, prompt) => Array.from({length: 200}, (_, part) => `${index}-${prompt}-${part}-${long}`)), index * second);
	}

	t.equal(evidence.crashes.length, 64);
	t.ok(evidence.crashes.every(({prompts}) => prompts.length <= 32 && prompts.every(prompt => prompt.size <= 24 && [...prompt].every(part => part.length <= 64))));
});

test('many new parts in the prompts of one caller do not crowd out the crashing one', async t => {
	const evidence = new CrashEvidence();
	for (let index = 0; index < 8; index++) {
		const filler = Array.from({length: 40}, (_, part) => `${index}-${part}`);
		evidence.recordCrash(`engine-${index} 1`, [[...filler, 'bad'], ...Array.from({length: 60}, (_, prompt) => [`${index}-sound-${prompt}`])], index * second);
	}

	t.strictSame(held(evidence), [['bad']]);
});
