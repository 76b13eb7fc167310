/**
Turns validator errors into sentences that name the place and what was expected.
*/

type SchemaError = {
	readonly instancePath: string;
	readonly keyword: string;
	readonly message?: string;
	readonly params: {readonly additionalProperty?: string; readonly missingProperty?: string; readonly allowedValues?: readonly unknown[]};
	readonly data?: unknown;
};

const expectation = (error: SchemaError): string => {
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

const place = (path: string): string => path === '' ? 'top level' : path.slice(1).replaceAll('/', '.');

/**
Returns one line per error, each with the place in dotted form.

@example
```
formatSchemaErrors(validate.errors); // ['listen.callers: must be string, found 8080']
```
*/
export const formatSchemaErrors = (errors: readonly SchemaError[] | undefined): readonly string[] =>
	(errors ?? []).map(error => `${place(error.instancePath)}: ${expectation(error)}`);
