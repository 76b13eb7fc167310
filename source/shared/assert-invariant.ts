/**
Asserts invariants in the decision code. The assertions are also active in production.
*/
import type {ResultCode} from '../generated/result-codes.js';
import {InvariantError} from './invariant-error.js';

/**
Throws an {@link InvariantError} with the numbered code unless `condition` holds.

@example
```
assertInvariant(sequence === last + 1, resultCode.answerInvariantBroken, 'gap in output');
```
*/
export function assertInvariant(condition: boolean, code: ResultCode, detail: string): asserts condition {
	if (!condition) {
		throw new InvariantError(code, detail);
	}
}
