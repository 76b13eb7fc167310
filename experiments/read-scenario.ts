/**
Reads a scenario file.
*/
import fs from 'node:fs';
import {err, ok, type Result} from 'neverthrow';
import {parse} from 'smol-toml';
import type {Scenario} from '../source/generated/scenario.js';
import {validateScenario} from '../source/generated/validators.js';
import {formatSchemaErrors} from '../source/shared/format-schema-errors.js';

/**
Returns the scenario, or every error with its place.

@example
```
readScenario('scenarios/silent-link.toml');
```
*/
export const readScenario = (path: string): Result<Scenario, readonly string[]> => {
	try {
		const value: unknown = parse(fs.readFileSync(path, 'utf8'));
		const errors = (validateScenario as unknown as {readonly errors?: Parameters<typeof formatSchemaErrors>[0]});
		return validateScenario(value) ? ok(value as Scenario) : err(formatSchemaErrors(errors.errors).map(line => `${path}: ${line}`));
	} catch (error) {
		return err([`${path}: ${(error as Error).message}`]);
	}
};
