/**
Decides what an existing claim on an idempotency key means for a request.
*/
import {resultCode} from '../../generated/result-codes.js';
import type {ClaimRecord} from './claim-record.js';

type ClaimResolution = {readonly kind: 'own'} | {readonly kind: 'final'; readonly code: number};

/**
Returns `own` when this request made the claim, otherwise the code of the final answer.

A claim by another request is never taken over, however old it is: its call may have run.

@example
```
resolveClaim({claimant: 'a', digest: 'd', state: 'claimed'}, {claimant: 'b', digest: 'd'}); // final, 2004
```
*/
export const resolveClaim = (found: ClaimRecord, own: Pick<ClaimRecord, 'claimant' | 'digest'>): ClaimResolution => {
	if (found.claimant === own.claimant) {
		return {kind: 'own'};
	}

	if (found.digest !== own.digest) {
		return {kind: 'final', code: resultCode.keyReused};
	}

	return {kind: 'final', code: found.state === 'done' ? resultCode.alreadyExecuted : resultCode.earlierCallUnresolved};
};
