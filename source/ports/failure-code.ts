/**
Result code for a failed HTTP call to a target.
*/
import {resultCode} from '../generated/result-codes.js';

const notSentCodes: ReadonlySet<string> = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT', 'EHOSTUNREACH']);

/**
Tells a connection that was never made from one that broke off.

@example
```
failureCode({code: 'ECONNREFUSED'}); // 1016, the request has not run
```
*/
export const failureCode = (error: unknown): number =>
	notSentCodes.has((error as {readonly code?: string}).code ?? '') ? resultCode.targetRefusedConnection : resultCode.targetLost;
