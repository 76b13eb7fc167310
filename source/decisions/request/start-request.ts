/**
Creates the initial state of a request.
*/
import * as option from 'fp-ts/lib/Option.js';
import type {RequestState} from './request-state.js';

type AcceptedRequest = Pick<RequestState, 'requestId' | 'organisation' | 'importance' | 'repeatable' | 'streamed' | 'deadlineAt'>;

/**
Returns the state of a request that has just been accepted.

@example
```
const state = startRequest({requestId, organisation: 'joiners-cork', importance: 'high', repeatable: true, streamed: true, deadlineAt});
```
*/
export const startRequest = (request: AcceptedRequest): RequestState => ({
	...request,
	phase: 'choosing',
	attempt: option.none,
	attemptCount: 0,
	triedTargets: [],
	emitted: '',
	emittedParts: 0,
	mayHaveRun: false,
	lastRefusal: option.none,
});
