/**
Starts a long-running process and shuts it down gracefully.
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

const exitCodeSettings = 64;
const exitCodeFailure = 70;

const exitWithErrors = (lines: readonly string[], code: number): never => {
	for (const line of lines) {
		console.error(line);
	}

	process.exit(code); // eslint-disable-line unicorn/no-process-exit
};

const readSettings = <Settings>({name, validate}: ProcessOptions<Settings>, path: string | undefined): Result<Settings, readonly string[]> => {
	if (path === undefined || !fs.existsSync(path)) {
		return exitWithErrors([`usage: ${name} [--check-settings] SETTINGS.toml`, ...path === undefined ? [] : [`${path}: no such file`]], exitCodeSettings);
	}

	return loadSettings<Settings>(path, validate);
};

/**
Runs a process from its command line: `NAME [--check-settings] SETTINGS.toml`.

SIGTERM and SIGINT start a graceful shutdown. An uncaught exception is logged and ends
the process, because its state may be inconsistent.

@example
```
await runProcess({name: 'cowsliprudder-gateway', validate, create: settings => new Gateway(settings)});
```
*/
export const runProcess = async <Settings>(options: ProcessOptions<Settings>): Promise<void> => {
	const commandLineArguments = process.argv.slice(2);
	const settings = readSettings(options, commandLineArguments.find(argument => !argument.startsWith('--')));
	if (settings.isErr()) {
		exitWithErrors(settings.error.map(line => `6001 settings invalid: ${line}`), exitCodeSettings);
		return;
	}

	if (commandLineArguments.includes('--check-settings')) {
		console.log('settings are valid');
		return;
	}

	const service = options.create(settings.value);
	let isStopping = false;
	const stop = async (): Promise<void> => {
		if (!isStopping) {
			isStopping = true;
			await service.stop();
			process.exit(0); // eslint-disable-line unicorn/no-process-exit
		}
	};

	process.on('SIGTERM', stop);
	process.on('SIGINT', stop);
	process.on('uncaughtException', error => {
		logger.fatal({stack: error.stack ?? ''}, error.message);
		process.exit(exitCodeFailure);
	});
	await service.start();
};
