/**
Retries of all gateways together, counted where they arrive.
*/
import process from 'node:process';
import {t as file, test} from 'tap';
import {playRetryDays} from '../support/play-retry-days.js';

const firstSeed = Number(process.env.SEED ?? 1);
const days = Number(process.env.DAYS ?? 2);
/** A day on which what gateways save up from their start breaks the rule. */
const tellingSeed = 116;
const seeds = [...Array.from({length: days}, (_, index) => firstSeed + index), tellingSeed];

const mostMilliseconds = 300_000;
file.setTimeout(mostMilliseconds);

const cases = [
	{name: 'BUDGET: gateways that lose sight of each other retry no more than the rule allows', deeds: ['cut', 'split'], hasWaits: false},
	{name: 'BUDGET: gateways that start again retry no more than the rule allows', deeds: ['roll', 'herd', 'kill', 'replace'], hasWaits: false},
	{name: 'BUDGET: retries that wait, and prompts read again, count where they arrive', deeds: [], hasWaits: true},
	{name: 'BUDGET: the rule holds when all of this comes together', deeds: ['cut', 'split', 'roll', 'herd', 'kill', 'replace', 'freeze'], hasWaits: true},
] as const;

for (const {name, deeds, hasWaits} of cases) {
	test(name, async t => {
		const {broken, ...counts} = await playRetryDays(seeds, {deeds, hasWaits});
		t.comment(JSON.stringify({...counts, brokenDays: new Set(broken.map(({gateways, seed}) => `${gateways} ${seed}`)).size}));
		t.strictSame(broken, []);
		t.equal(counts.overdrawn, 0, 'no retry is sent without room at that moment');
	});
}

test('calm gateways before targets that only refuse keep the rule', async t => {
	const {broken} = await playRetryDays(seeds, {deeds: [], hasWaits: false});
	t.strictSame(broken, []);
});
