/**
`npm run soak -- SECONDS SEED [SEED ...]`: entry gateways as real processes under random faults.

`GATEWAYS=12 npm run soak -- 30 1` plays with that many.

Exits with 1 if something happened that may not; the folder that it names has the logs.
*/
import process from 'node:process';
import {runSoak} from './run-soak.js';

const [seconds = 30, ...seeds] = process.argv.slice(2).map(Number);

const gatewayCount = Number(process.env.GATEWAYS ?? 3);

for (const seed of seeds.length === 0 ? [1] : seeds) {
	const {problems, summary, folder} = await runSoak({seconds, seed, gatewayCount}); // eslint-disable-line no-await-in-loop
	console.log(`seed ${seed}, ${seconds} s: ${problems.length === 0 ? 'held' : `${problems.length} problems, logs in ${folder}`}\n    ${summary}`);
	for (const problem of problems) {
		console.log(`    ${problem}`);
	}

	process.exitCode = problems.length > 0 ? 1 : process.exitCode;
}
