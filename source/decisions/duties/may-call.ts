/**
Decides whether the holder of a duty's lease may make a call at this moment.
*/
import type {LeaseState} from './lease-state.js';

/** Time before the expiry of the lease from which on no call begins; covers a stall of the process between the check and the write. */
const marginMilliseconds = 500;

/**
Returns true while the lease is certainly held and the waiting time after its acquisition has passed.
It must be asked just before each call, as the process may have been frozen since the last time.

@example
```
if (mayCall(state, clock())) {
	socket.write(call);
}
```
*/
export const mayCall = (state: LeaseState, now: number): boolean => state.kind === 'holding' && now >= state.actsFrom && now < state.validUntil - marginMilliseconds;
