/**
Reads the input of a command from files or from standard input.
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
Returns the content of the files, or of standard input if none is given. Returns one error
for each file that does not exist.

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
