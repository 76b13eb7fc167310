/**
Formats schema validation errors as messages that name the key and the expected value.
*/

type SchemaError = {
	readonly instancePath: string;
	readonly keyword: string;
	readonly message?: string;
	readonly params: {readonly additionalProperty?: string; readonly missingProperty?: string; readonly allowedValues?: readonly unknown[]};
	readonly data?: unknown;
};

const describeProblem = (error: SchemaError): string => {
	switch (error.keyword) {
		case 'additionalProperties': {
			return `unknown key "${error.params.additionalProperty ?? ''}"`;
		}

		case 'required': {
			return `missing key "${error.params.missingProperty ?? ''}"`;
		}

		case 'enum': {
			return `expected one of ${JSON.stringify(error.params.allowedValues)}, found ${JSON.stringify(error.data)}`;
		}

		default: {
			return `${error.message ?? 'invalid'}, found ${JSON.stringify(error.data)}`;
		}
	}
};

const formatPath = (path: string): string => path === '' ? 'top level' : path.slice(1).replaceAll('/', '.');

/**
Returns one line per error. Each begins with the path of the key, joined by dots.

@example
```
formatSchemaErrors(validate.errors); // ['listen.callers: must be string, found 8080']
```
*/
export const formatSchemaErrors = (errors: readonly SchemaError[] | undefined): readonly string[] =>
	(errors ?? []).map(error => `${formatPath(error.instancePath)}: ${describeProblem(error)}`);
