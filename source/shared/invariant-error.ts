/**
Error that reports a violated invariant.

It makes only the action fail that would have violated the invariant. The process
keeps running.
*/
import {resultCodeDetails, type ResultCode} from '../generated/result-codes.js';

/**
Thrown by the decision code. The code that runs the action catches, counts and logs it.

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
