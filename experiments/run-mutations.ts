/**
Shows that each proof fails without the protection that it is for.

Each mutation takes one protection out of a copy of the compiled program and
runs the proof there; the proof must fail.
*/
import {spawnSync} from 'node:child_process';
import fs from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import process from 'node:process';

type Mutation = {readonly name: string; readonly file: string; readonly find: string; readonly replace: string; readonly test: string};

const mostMilliseconds = 120_000;

const runProof = (folder: string, test: string): boolean => {
	const {status} = spawnSync(process.execPath, [`build/test/${test}.test.js`], {cwd: folder, timeout: mostMilliseconds, stdio: 'ignore'});
	return status === 0;
};

const runOne = (folder: string, {file, find, replace, test}: Mutation): 'fails' | 'passes' | 'not applied' => {
	const source = path.join('build/source', `${file}.js`);
	const text = fs.readFileSync(source, 'utf8');
	if (!text.includes(find)) {
		return 'not applied';
	}

	const target = path.join(folder, source);
	fs.writeFileSync(target, text.replace(find, () => replace));
	const isPassed = runProof(folder, test);
	fs.writeFileSync(target, text);
	return isPassed ? 'passes' : 'fails';
};

/**
Prints one line a mutation and returns how many a proof did not notice.

@example
```
process.exitCode = runMutations() === 0 ? 0 : 1;
```
*/
export const runMutations = (): number => {
	const mutations = JSON.parse(fs.readFileSync('test/mutations.json', 'utf8')) as readonly Mutation[];
	const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'cowsliprudder-mutations-'));
	try {
		fs.cpSync('build', path.join(folder, 'build'), {recursive: true});
		fs.copyFileSync('package.json', path.join(folder, 'package.json'));
		fs.symlinkSync(path.resolve('node_modules'), path.join(folder, 'node_modules'));
		// A proof that fails without any mutation would seem to notice each.
		const failing = [...new Set(mutations.map(({test}) => test))].filter(test => !runProof(folder, test));
		for (const test of failing) {
			console.log(`FAILS WITHOUT A MUTATION | ${test}`);
		}

		const results = mutations.map(mutation => {
			const result = runOne(folder, mutation);
			console.log(`${result === 'fails' ? 'noticed' : `NOT NOTICED (${result})`} | ${mutation.name} | ${mutation.test}`);
			return result;
		});
		return failing.length + results.filter(result => result !== 'fails').length;
	} finally {
		fs.rmSync(folder, {recursive: true, force: true});
	}
};
