/**
`npm run doors -- [SECONDS]`: plays each cut of an answer without end, and one run without any, and prints what callers of a sound target beside it saw.
*/
import process from 'node:process';
import {cuts} from './cuts.js';
import {playCut} from './play-cut.js';

const seconds = Number(process.argv[2] ?? 4);
/** A short timeout, beyond which a bid is late. */
const bidTimeoutMilliseconds = 800;

const print = (name: string, {bids, answered, begun, megabytesPerSecond, p99, longest, memoryMegabytes, problems}: Awaited<ReturnType<typeof playCut>>): void => {
	const facts = [
		`${answered} of ${bids} bids answered, p99 ${Math.round(p99)} ms, longest ${Math.round(longest)} ms`,
		`${begun} answers begun, ${megabytesPerSecond.toFixed(1)} MB/s sent`,
		`${Math.round(memoryMegabytes)} MB`,
		...problems,
	];
	console.log(`${name}: ${facts.join('; ')}`);
};

print('none', await playCut(cuts[0]!, {seconds, hasTrouble: false, bidTimeoutMilliseconds}));
for (const cut of cuts) {
	print(cut.name, await playCut(cut, {seconds, bidTimeoutMilliseconds})); // eslint-disable-line no-await-in-loop
}
