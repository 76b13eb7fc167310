/**
`npm run prove`: long randomised runs and all scenarios; `--list` names them.

`npm run prove -- NAME ...` runs only the proofs whose name contains a word;
`npm run prove -- --mutations` shows that the proofs fail without the protections.
*/
import {spawn} from 'node:child_process';
import fs from 'node:fs';
import process from 'node:process';
import {makeSoak} from './make-soak.js';
import {readScenario} from './read-scenario.js';
import {runMutations} from './run-mutations.js';
import {runScenario} from './run-scenario.js';

type Proof = {readonly name: string; readonly proves: readonly string[]; readonly command: string; readonly run: () => Promise<readonly string[]>};

const seed = Number(process.env.SEED ?? 20_261_204);
const soakSeconds = Number(process.env.SECONDS_OF_SOAK ?? 120);
const scenarioPorts = {first: 24_000, step: 200, soak: 29_000};

const randomised: ReadonlyArray<{readonly file: string; readonly runs: number; readonly proves: readonly string[]}> = [
	{file: 'decisions/attempts/attempts-and-requests', runs: 20_000, proves: ['each caller gets its own whole answer', '"not run" means not run', 'a bid or booking executes at most once']},
	{file: 'decisions/authority/orders', runs: 50_000, proves: ['an engine never gets conflicting orders', 'orders without authority have no effect']},
	{file: 'gateway/idempotency-claims', runs: 5000, proves: ['a bid or booking executes at most once']},
	{file: 'configuration/configuration-replica', runs: 5000, proves: ['an accepted configuration is in force everywhere and never reverts']},
	{file: 'decisions/admission/admission-queue', runs: 20_000, proves: ['"not run" means not run']},
];

const runTest = async (file: string, runs: number): Promise<readonly string[]> => new Promise(resolve => {
	const settings = Object.fromEntries([['RUNS', String(runs)], ['SEED', String(seed)], ['TAP_TIMEOUT', '0']]);
	const child = spawn(process.execPath, [`build/test/${file}.test.js`], {env: {...process.env, ...settings}, stdio: ['ignore', 'pipe', 'inherit']});
	let output = '';
	child.stdout.on('data', (data: Uint8Array) => {
		output += String(data);
	});
	child.on('close', code => {
		const comments = output.split('\n').filter(line => line.includes('# seed')).map(line => line.trim());
		console.log(`    ${comments.join('; ')}`);
		resolve(code === 0 ? [] : [`ended with ${code ?? 'a signal'}`, ...output.split('\n').filter(line => line.includes('not ok'))]);
	});
});

const proofs: readonly Proof[] = [
	...randomised.map(({file, runs, proves}): Proof => ({
		name: file, proves, command: `RUNS=${runs} SEED=${seed} node build/test/${file}.test.js`, run: async () => runTest(file, runs),
	})),
	{
		name: 'soak',
		proves: makeSoak(soakSeconds, seed).proves,
		command: `SECONDS_OF_SOAK=${soakSeconds} SEED=${seed} npm run prove -- soak`,
		async run() {
			const {problems, summary} = await runScenario(makeSoak(soakSeconds, seed), scenarioPorts.soak);
			console.log(`    ${summary}`);
			return problems;
		},
	},
	...fs.readdirSync('scenarios').filter(file => file.endsWith('.toml')).sort().map((file, index): Proof => {
		const path = `scenarios/${file}`;
		const read = readScenario(path);
		return {
			name: file.replace('.toml', ''),
			proves: read.match(({proves}) => proves, () => []),
			command: `npm run prove -- ${file.replace('.toml', '')}`,
			async run() {
				if (read.isErr()) {
					return read.error;
				}

				const {problems, summary} = await runScenario(read.value, scenarioPorts.first + (index * scenarioPorts.step));
				console.log(`    ${summary}`);
				return problems;
			},
		};
	}),
];

if (process.argv.includes('--mutations')) {
	const unnoticed = runMutations();
	console.log(`${unnoticed} mutations were not noticed`);
	process.exit(unnoticed === 0 ? 0 : 1); // eslint-disable-line unicorn/no-process-exit
}

const words = process.argv.slice(2).filter(word => !word.startsWith('--'));
const chosen = proofs.filter(({name}) => words.length === 0 || words.some(word => name.includes(word)));
let failed = 0;
for (const {name, proves, command, run} of chosen) {
	console.log(`${name}\n    proves: ${proves.join('; ')}\n    ${command}`);
	if (process.argv.includes('--list')) {
		continue;
	}

	const problems = await run(); // eslint-disable-line no-await-in-loop
	failed += problems.length === 0 ? 0 : 1;
	console.log(problems.length === 0 ? '    holds' : problems.map(problem => `    DOES NOT HOLD: ${problem}`).join('\n'));
}

console.log(`${chosen.length - failed} passed, ${failed} failed`);
process.exit(failed === 0 ? 0 : 1); // eslint-disable-line unicorn/no-process-exit
