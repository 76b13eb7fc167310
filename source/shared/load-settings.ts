/**
Reads the settings of a process from a TOML file and validates them against their schema.
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
Returns the settings, or all errors. Each error names the file, the key and the expected value.

@example
```
loadSettings<GatewaySettings>('gateway.toml', validateGatewaySettings);
```
*/
export const loadSettings = <Settings>(path: string, validate: Validator): Result<Settings, readonly string[]> =>
	readToml(path).andThen(value => validate(value)
		? ok(value as Settings)
		: err(formatSchemaErrors((validate.errors ?? undefined) as Parameters<typeof formatSchemaErrors>[0]).map(line => `${path}: ${line}`)));
