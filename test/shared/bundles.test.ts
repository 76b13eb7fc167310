/**
What the bundles of the binaries have in common.
*/
import {execFileSync} from 'node:child_process';
import fs from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {build, type BuildOptions} from 'esbuild';
import {test, type Test} from 'tap';

const {bundleOptions} = await import(path.resolve('scripts/bundle-options.js')) as {readonly bundleOptions: BuildOptions};

/** Bundles a library as the binaries are, runs it, and returns the lines that it prints. */
const runBundled = async (t: Test, library: string): Promise<readonly string[]> => {
	const folder = t.testdir();
	const file = path.join(folder, 'library.cjs');
	const outfile = path.join(folder, 'bundle.mjs');
	fs.writeFileSync(file, library);
	await build({...bundleOptions, entryPoints: [file], outfile});
	return execFileSync(process.execPath, [outfile], {encoding: 'utf8'}).trim().split('\n');
};

const failingLibrary = `
const assert = require('node:assert');
const {ok} = require('assert');
for (const check of [assert, assert.ok, ok]) {
	try {
		check(1 > 2);
	} catch (error) {
		console.log(error.code, error.message);
	}
}
`;

// Guards against seconds without any other work, in which Node.js parses the line of the bundle from where a library's assertion has failed (review/6).
test('CONFIG: the message of a failed assertion of a library is not worded from the source of the bundle', async t => {
	t.strictSame(await runBundled(t, failingLibrary), Array.from({length: 3}, () => 'ERR_ASSERTION assertion failed'));
});

test('assertions with a message, and those that compare, are as they were', async t => {
	const lines = await runBundled(t, `
const assert = require('node:assert');
for (const check of [() => assert(false, 'own'), () => assert.strictEqual(1, 2, 'compared'), () => assert(true)]) {
	try {
		check();
		console.log('passed');
	} catch (error) {
		console.log(error instanceof assert.AssertionError, error.message.split('\\n')[0]);
	}
}
`);
	t.strictSame(lines, ['true own', 'true compared', 'passed']);
});

// Guards against a library that loads the assertions under a name that the bundles do not replace.
test('no bundle loads the assertions of Node.js in another way', async t => {
	const bundles = fs.readdirSync('build/binaries').filter(name => name.endsWith('.mjs'));
	t.equal(bundles.length, 3);
	for (const name of bundles) {
		const text = fs.readFileSync(path.join('build/binaries', name), 'utf8');
		t.notMatch(text, /(?:require\(|from)\s*["'](?:node:)?assert(?:\/strict)?["']/, name);
	}
});
