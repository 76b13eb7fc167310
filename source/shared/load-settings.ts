/**
Reads a process's settings from a TOML file and checks them against their schema.
*/
import fs from 'node:fs';
import {err, ok, type Result} from 'neverthrow';
import {parse} from 'smol-toml';
import {formatSchemaErrors} from './format-schema-errors.js';

type Validator = {(value: unknown): boolean; errors?: unknown};

const readToml = (path: string): Result<unknown, readonly string[]> => {
	try {
		return ok(parse(fs.readFileSync(path, 'utf8')));
	} catch (error) {
		return err([`${path}: ${(error as Error).message}`]);
	}
};

/**
Returns the settings, or every error found, each naming the file, the key and what was expected.

@example
```
loadSettings<GatewaySettings>('gateway.toml', validateGatewaySettings);
```
*/
export const loadSettings = <Settings>(path: string, validate: Validator): Result<Settings, readonly string[]> =>
	readToml(path).andThen(value => validate(value)
		? ok(value as Settings)
		: err(formatSchemaErrors((validate.errors ?? undefined) as Parameters<typeof formatSchemaErrors>[0]).map(line => `${path}: ${line}`)));
