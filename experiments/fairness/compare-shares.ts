/**
Prints how the ways to keep shares serve the same loads: `node build/experiments/fairness/compare-shares.js 1 2 3`.
*/
import process from 'node:process';
import {FairnessReplay} from './fairness-replay.js';
import {replayFigures} from './replay-figures.js';
import {replayLoads} from './replay-loads.js';

const ways = ['none', 'local', 'digests', 'leased'] as const;
const defaultSeeds = [1, 2, 3];

const format = (values: readonly number[]): string => values.map(value => value.toFixed(3)).join(' / ');

const seeds = process.argv.length > 2 ? process.argv.slice(2).map(Number) : defaultSeeds;
console.log('| Load | Shares | All | Small teams | Small teams, worst seconds | Least served team | Question / dossier | Largest tenth | Came back and served | Engines busy |');
console.log('| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |');
for (const [name, load] of Object.entries(replayLoads)) {
	for (const shares of ways) {
		const replays = seeds.map(seed => new FairnessReplay({seed, shares, ...load}).run());
		const figures = replays.map(({requests}) => replayFigures(requests));
		const meanOf = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length;
		const kindMeans = (of: 'kinds' | 'largest'): string => format([0, 1].map(kind => meanOf(figures.map(each => each[of][kind]!))));
		console.log(`| ${[
			name,
			shares,
			...(['all', 'small', 'smallWorst', 'leastTeam'] as const).map(of => format([meanOf(figures.map(each => each[of]))])),
			kindMeans('kinds'),
			kindMeans('largest'),
			format([meanOf(figures.map(({returned}) => returned))]),
			format([meanOf(replays.map(({busyShare}) => busyShare))]),
		].join(' | ')} |`);
	}
}
