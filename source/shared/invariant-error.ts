/**
The error of a broken invariant.

It fails the one action that would have broken the promise, never the process.
*/
import {resultCodeDetails, type ResultCode} from '../generated/result-codes.js';

/**
Thrown by decisions; caught by the shell around the one action, counted and logged.

@example
```
throw new InvariantError(resultCode.answerInvariantBroken, 'sequence 4 after 2');
```
*/
export class InvariantError extends Error {
	readonly code: ResultCode;

	constructor(code: ResultCode, detail: string) {
		super(`${code} ${resultCodeDetails.get(code)?.name ?? 'invariant broken'}: ${detail}`);
		this.name = 'InvariantError';
		this.code = code;
	}
}
