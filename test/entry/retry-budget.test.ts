/**
The retry budget holds for all gateways together, counted by the arrivals at the targets.
*/
import process from 'node:process';
import {t as file, test} from 'tap';
import {playRetryDays} from '../support/play-retry-days.js';

const firstSeed = Number(process.env.SEED ?? 1);
const days = Number(process.env.DAYS ?? 2);
/** Seed of a day on which the limit is exceeded if restarted gateways begin with the whole fixed part of the budget. */
const regressionSeed = 116;
const seeds = [...Array.from({length: days}, (_, index) => firstSeed + index), regressionSeed];

const timeoutMilliseconds = 300_000;
file.setTimeout(timeoutMilliseconds);

const cases = [
	{name: 'BUDGET: the retry limit holds while gateways cannot reach each other', deeds: ['cut', 'split'], hasWaits: false},
	{name: 'BUDGET: the retry limit holds while gateways restart', deeds: ['roll', 'herd', 'kill', 'replace'], hasWaits: false},
	{name: 'BUDGET: delayed retries and repeated prefills count on arrival', deeds: [], hasWaits: true},
	{name: 'BUDGET: the retry limit holds under all of these faults together', deeds: ['cut', 'split', 'roll', 'herd', 'kill', 'replace', 'freeze'], hasWaits: true},
] as const;

for (const {name, deeds, hasWaits} of cases) {
	test(name, async t => {
		const {broken, ...counts} = await playRetryDays(seeds, {deeds, hasWaits});
		t.comment(JSON.stringify({...counts, brokenDays: new Set(broken.map(({gateways, seed}) => `${gateways} ${seed}`)).size}));
		t.strictSame(broken, []);
		t.equal(counts.overdrawn, 0, 'no retry is sent while the budget is exhausted');
	});
}

test('the retry limit holds for gateways without faults whose targets only refuse', async t => {
	const {broken} = await playRetryDays(seeds, {deeds: [], hasWaits: false});
	t.strictSame(broken, []);
});
