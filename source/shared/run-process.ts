/**
Start and graceful stop of a long-running process.
*/
import fs from 'node:fs';
import process from 'node:process';
import type {Result} from 'neverthrow';
import {loadSettings} from './load-settings.js';
import {logger} from './logger.js';

type Service = {readonly start: () => Promise<void>; readonly stop: () => Promise<void>};

type ProcessOptions<Settings> = {
	readonly name: string;
	readonly validate: Parameters<typeof loadSettings>[1];
	readonly create: (settings: Settings) => Service;
};

const exitSettings = 64;
const exitFailure = 70;

const fail = (lines: readonly string[], code: number): never => {
	for (const line of lines) {
		console.error(line);
	}

	process.exit(code); // eslint-disable-line unicorn/no-process-exit
};

const readSettings = <Settings>({name, validate}: ProcessOptions<Settings>, path: string | undefined): Result<Settings, readonly string[]> => {
	if (path === undefined || !fs.existsSync(path)) {
		return fail([`usage: ${name} [--check-settings] SETTINGS.toml`, ...path === undefined ? [] : [`${path}: no such file`]], exitSettings);
	}

	return loadSettings<Settings>(path, validate);
};

/**
Runs a process from its command line: `NAME [--check-settings] SETTINGS.toml`.

SIGTERM and SIGINT begin a graceful stop. An error nobody caught is logged and
ends the process: its state can no longer be trusted.

@example
```
await runProcess({name: 'cowsliprudder-gateway', validate, create: settings => new Gateway(settings)});
```
*/
export const runProcess = async <Settings>(options: ProcessOptions<Settings>): Promise<void> => {
	const words = process.argv.slice(2);
	const settings = readSettings(options, words.find(word => !word.startsWith('--')));
	if (settings.isErr()) {
		fail(settings.error.map(line => `6001 settings invalid: ${line}`), exitSettings);
		return;
	}

	if (words.includes('--check-settings')) {
		console.log('settings are valid');
		return;
	}

	const service = options.create(settings.value);
	let stopping = false;
	const stop = async (): Promise<void> => {
		if (!stopping) {
			stopping = true;
			await service.stop();
			process.exit(0); // eslint-disable-line unicorn/no-process-exit
		}
	};

	process.on('SIGTERM', stop);
	process.on('SIGINT', stop);
	process.on('uncaughtException', error => {
		logger.fatal({stack: error.stack ?? ''}, error.message);
		process.exit(exitFailure);
	});
	await service.start();
};
