/**
Words for a numbered result code.
*/
import {resultCodeDetails, type ResultCodeDetail} from '../generated/result-codes.js';

/**
Returns the table row of `code`; an unlisted number gets a row that says so.

@example
```
describeCode(1001).name; // 'queue full'
```
*/
export const describeCode = (code: number): ResultCodeDetail => resultCodeDetails.get(code) ?? {
	code, name: 'unlisted code', outcome: 'unknown', status: 500, meaning: 'The code is not in the table.', action: 'Report it.',
};
