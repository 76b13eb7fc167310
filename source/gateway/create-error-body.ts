/**
Creates the body of a refusal or failure, the same for all kinds of requests from callers.
*/
import {describeCode} from '../shared/describe-code.js';

/**
Returns the error object for a result code. `ran` tells the caller whether its request has run.

@example
```
createErrorBody(1001, 'request-id'); // {error: {code: 1001, name: 'queue full', ran: 'not run', ...}}
```
*/
export const createErrorBody = (code: number, requestId: string, detail?: string) => {
	const {name, outcome, meaning, action} = describeCode(code);
	return {
		error: {
			code, name, ran: outcome, message: detail ?? meaning, action, requestId,
		},
	};
};
