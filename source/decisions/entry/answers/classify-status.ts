/**
Tells from its status whether a head begins an answer.

A target in trouble may write a status that HTTP does not have. What comes with it is no answer, so
nothing of it is passed on, and what follows on its connection cannot be trusted.
*/

/**
- `interim`: another head follows.
- `final`: the head of the answer.
- `invalid`: no answer: a status outside 100 to 599, or a switch to another protocol, for which nobody has asked.
*/
type StatusKind = 'interim' | 'final' | 'invalid';

const firstStatus = 100;
const switchingProtocolsStatus = 101;
const firstFinalStatus = 200;
const lastStatus = 599;

/**
Returns what a head with this status is.

@example
```
classifyStatus(103); // 'interim'
```
*/
export const classifyStatus = (status: number): StatusKind => {
	if (status < firstStatus || status > lastStatus || status === switchingProtocolsStatus) {
		return 'invalid';
	}

	return status < firstFinalStatus ? 'interim' : 'final';
};
