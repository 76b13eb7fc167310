/**
Parses and validates a configuration document in TOML.
*/
import {err, ok, type Result} from 'neverthrow';
import {parse} from 'smol-toml';
import {checkConfiguration} from '../decisions/configuration/check-configuration.js';
import type {Configuration} from '../generated/configuration.js';
import {validateConfiguration} from '../generated/validators.js';
import {formatSchemaErrors} from '../shared/format-schema-errors.js';

type SchemaErrors = Parameters<typeof formatSchemaErrors>[0];

/**
Returns the document, or all of its errors at once, each with its path in the document.

@example
```
parseDocument('[[services]]\nname = "advice-llm"');
```
*/
export const parseDocument = (text: string): Result<Configuration, readonly string[]> => {
	let value: unknown;
	try {
		value = parse(text);
	} catch (error) {
		return err([(error as Error).message]);
	}

	if (!validateConfiguration(value)) {
		return err(formatSchemaErrors((validateConfiguration as unknown as {readonly errors?: SchemaErrors}).errors));
	}

	const errors = checkConfiguration(value as Configuration);
	return errors.length === 0 ? ok(value as Configuration) : err(errors);
};
