/**
Looks up the name, meaning and recommended action of a result code.
*/
import {resultCodeDetails, type ResultCodeDetail} from '../generated/result-codes.js';

/**
Returns the entry of `code` in the table of result codes. For a number that is not in
the table, it returns an entry named `unlisted code`.

@example
```
describeCode(1001).name; // 'queue full'
```
*/
export const describeCode = (code: number): ResultCodeDetail => resultCodeDetails.get(code) ?? {
	code, name: 'unlisted code', outcome: 'unknown', status: 500, meaning: 'The code is not in the table.', action: 'Report it.',
};
