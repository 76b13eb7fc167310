/*
Runs the compiled tests and compares the failures with KNOWN-RED.txt.

Tests of uncontrolled clients measure the memory of a process and keep a core busy, so they run by
themselves after the others, one at a time.

A failure listed there is printed and passed over; any other fails the run. A
listed test that passes again fails the run too, so that its entry is removed.
*/
import {spawn} from 'node:child_process';
import fs from 'node:fs';
import process from 'node:process';

const knownRed = fs.readFileSync('KNOWN-RED.txt', 'utf8')
	.split('\n')
	.filter(line => line.trim() !== '' && !line.startsWith('#'))
	.map(line => line.split('|').map(part => part.trim()))
	.map(([file, name, command, seen, issue]) => ({
		file, name, command, seen, issue,
	}));

/* The processes' own log lines, shown only when something failed. */
const mostErrorCharacters = 200_000;

const runTap = async parameters => new Promise(resolve => {
	const child = spawn('npx', ['tap', '--reporter=tap', ...parameters], {stdio: ['ignore', 'pipe', 'pipe']});
	let output = '';
	let errors = '';
	child.stderr.on('data', data => {
		errors = (errors + data).slice(-mostErrorCharacters);
	});
	child.stdout.on('data', data => {
		output += data;
	});
	child.on('close', code => {
		resolve({output, errors, code});
	});
});

/* Top-level points are files, those one level down are tests. */
const readResults = output => {
	const results = [];
	let pending = [];
	for (const line of output.split('\n')) {
		const test = /^ {4}(not )?ok \d+ - (.*?)(?: # (time=\S+|SKIP.*|TODO.*))?(?: {)?$/.exec(line);
		const file = /^(not )?ok \d+ - (.*?)(?: # (time=\S+|SKIP.*|TODO.*))?(?: {)?$/.exec(line);
		if (test) {
			pending.push({passed: test[1] === undefined, name: test[2], skipped: /SKIP|TODO/.test(test[3] ?? '')});
		}

		if (file) {
			const tests = pending.length > 0 ? pending : [{passed: file[1] === undefined, name: '(file)', skipped: false}];
			const anyFailed = tests.some(({passed}) => !passed);
			const whole = file[1] !== undefined && !anyFailed ? [{passed: false, name: '(file)', skipped: false}] : [];
			results.push(...[...tests, ...whole].map(result => ({...result, file: file[2]})));
			pending = [];
		}
	}

	return results;
};

const callerTests = 'build/test/callers/**/*.test.js';
const chosen = process.argv.slice(2);
const runs = chosen.length > 0 ? [chosen] : [[`--exclude=${callerTests}`], ['--jobs=1', callerTests]];

const runAll = async ([parameters, ...others]) => {
	const {output, errors, code} = await runTap(parameters);
	const rest = others.length > 0 ? await runAll(others) : {output: '', errors: '', code: 0};
	return {output: output + rest.output, errors: errors + rest.errors, code: code === 0 ? rest.code : code};
};

const {output, errors, code} = await runAll(runs);
const results = readResults(output);
const isKnown = result => knownRed.some(entry => result.file.endsWith(entry.file) && result.name === entry.name);
const failed = results.filter(({passed}) => !passed);
const unknown = failed.filter(result => !isKnown(result));
const healed = knownRed.filter(entry => results.some(result => result.passed && result.file.endsWith(entry.file) && result.name === entry.name));
const missing = knownRed.filter(entry => !results.some(result => result.file.endsWith(entry.file) && result.name === entry.name));

if (unknown.length > 0 || (code !== 0 && failed.length === 0)) {
	console.log(output);
	console.error(errors);
}

for (const result of unknown) {
	console.log(`FAILED ${result.file}: ${result.name}`);
}

for (const entry of knownRed) {
	console.log(`KNOWN RED ${entry.file}: ${entry.name} | ${entry.command} | ${entry.seen} | issue ${entry.issue}`);
}

for (const entry of [...healed, ...missing]) {
	console.log(`KNOWN-RED.txt names a test that ${healed.includes(entry) ? 'passes' : 'did not run'}: ${entry.file}: ${entry.name}`);
}

const skipped = results.filter(result => result.skipped).length;
console.log(`${results.filter(({passed}) => passed).length - skipped} passed, ${failed.length} failed, ${skipped} skipped`);
const isRed = unknown.length > 0 || healed.length > 0 || missing.length > 0 || results.length === 0 || (code !== 0 && failed.length === 0);
process.exitCode = isRed ? 1 : 0;
