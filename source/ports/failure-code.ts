/**
Maps the error of a failed HTTP call to a target to a result code.
*/
import {resultCode} from '../generated/result-codes.js';

const notSentCodes: ReadonlySet<string> = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT', 'EHOSTUNREACH']);

/**
Returns `targetRefusedConnection` if no connection was established, so that the request
cannot have run, and `targetLost` if the connection broke later.

@example
```
failureCode({code: 'ECONNREFUSED'}); // 1016: the request has not run
```
*/
export const failureCode = (error: unknown): number =>
	notSentCodes.has((error as {readonly code?: string}).code ?? '') ? resultCode.targetRefusedConnection : resultCode.targetLost;
