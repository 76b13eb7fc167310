/**
Reads what a command of the command line is given: files, or standard input.
*/
import {Buffer} from 'node:buffer';
import fs from 'node:fs';
import process from 'node:process';
import {err, ok, type Result} from 'neverthrow';

const readStandardInput = async (): Promise<string> => {
	const chunks: Uint8Array[] = [];
	for await (const chunk of process.stdin) {
		chunks.push(chunk as Uint8Array);
	}

	return Buffer.concat(chunks).toString('utf8');
};

/**
Returns the texts of the files, of standard input when none is named, or one
error for each file that is not there.

@example
```
const texts = await readTexts(['edge-1.log', 'edge-2.log']);
```
*/
export const readTexts = async (files: readonly string[]): Promise<Result<readonly string[], readonly string[]>> => {
	const missing = files.filter(file => !fs.existsSync(file));
	if (missing.length > 0) {
		return err(missing.map(file => `${file}: no such file`));
	}

	return ok(files.length === 0 ? [await readStandardInput()] : files.map(file => fs.readFileSync(file, 'utf8')));
};
