/**
Conventions of the code base that the linter does not check.
*/
import fs from 'node:fs';
import path from 'node:path';
import {test} from 'tap';

const listFiles = (folder: string): readonly string[] => fs.readdirSync(folder, {withFileTypes: true}).flatMap(entry => {
	const entryPath = path.join(folder, entry.name);
	return entry.isDirectory() ? listFiles(entryPath) : [entryPath];
});

const sources = listFiles('source').filter(file => file.endsWith('.ts') && !file.includes('generated'));

test('each module begins with a comment and has one export', async t => {
	t.ok(sources.length > 50);
	for (const file of sources) {
		const text = fs.readFileSync(file, 'utf8').replace(/^#!.*\n/, '');
		const exported = text.match(/^export /gm)?.length ?? 0;
		t.ok(text.startsWith('/**\n'), `${file} begins with a comment`);
		t.equal(exported, file.includes('binaries') ? 0 : 1, `${file} has one export`);
	}
});

test('decisions use no clock, randomness or network', async t => {
	for (const file of sources.filter(source => source.includes('decisions'))) {
		const text = fs.readFileSync(file, 'utf8').replaceAll(/\/\*\*[\s\S]*?\*\//g, '');
		t.notMatch(text, /Math\.random|performance\.now|Date\.now|setTimeout|setInterval|from 'undici'|from 'ws'|from 'node:/, file);
	}
});

test('every result code is unique and has a meaning and an action', async t => {
	const codes = JSON.parse(fs.readFileSync('schema/result-codes.json', 'utf8')) as ReadonlyArray<{readonly code: number; readonly name: string; readonly meaning: string; readonly action: string}>;
	t.equal(new Set(codes.map(({code}) => code)).size, codes.length);
	t.ok(codes.every(({meaning, action}) => meaning !== '' && action !== ''));
});
