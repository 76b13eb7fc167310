/**
Parses an accepted configuration in the JSON form that is stored and sent between processes.
*/
import {err, ok, type Result} from 'neverthrow';
import type {AcceptedConfiguration} from '../decisions/configuration/accepted-configuration.js';
import type {Configuration} from '../generated/configuration.js';
import {parseDocument} from './parse-document.js';

type Parsed = {readonly accepted: AcceptedConfiguration; readonly document: Configuration};

const isAccepted = (value: unknown): value is AcceptedConfiguration => {
	const record = value as Partial<AcceptedConfiguration> | undefined;
	return Number.isSafeInteger(record?.generation) && typeof record?.submissionId === 'string' && typeof record.document === 'string';
};

/**
Returns the record with its parsed document, or the errors that make it unusable. Never throws.

@example
```
parseAccepted(stored.value).map(({document}) => document.services.length);
```
*/
export const parseAccepted = (text: string): Result<Parsed, readonly string[]> => {
	try {
		const value: unknown = JSON.parse(text);
		return isAccepted(value)
			? parseDocument(value.document).map(document => ({accepted: value, document}))
			: err(['the record has no valid generation, submissionId or document']);
	} catch (error) {
		return err([(error as Error).message]);
	}
};
