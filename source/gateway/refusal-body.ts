/**
Body of a refusal or failure, the same at every door.
*/
import {describeCode} from '../shared/describe-code.js';

/**
Returns the JSON that tells a caller what is known of its request.

@example
```
refusalBody(1001, 'request-id'); // {error: {code: 1001, name: 'queue full', ran: 'not run', ...}}
```
*/
export const refusalBody = (code: number, requestId: string, detail?: string) => {
	const {name, outcome, meaning, action} = describeCode(code);
	return {
		error: {
			code, name, ran: outcome, message: detail ?? meaning, action, requestId,
		},
	};
};
