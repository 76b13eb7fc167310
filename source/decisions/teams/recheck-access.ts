/**
Decides whether a request that was admitted may still be sent to a target.

The load: a request waits at the gateway for seconds while a newer configuration removes
its key. It must not run any more. Nor may it run for a team that no longer has its key,
or with a key in its headers because no team was configured when it was admitted.
*/
import type {RequestTeam} from '../../fleet/request-team.js';
import type {AccessChange} from './access-change.js';
import type {AccessDecision} from './access-decision.js';

const isSameTeam = (admitted: RequestTeam, current: RequestTeam): boolean => {
	switch (admitted.kind) {
		case 'none': {
			return current.kind === 'none';
		}

		case 'anonymous': {
			// Its headers name no team, whether or not its key is known by now.
			return true;
		}

		case 'team': {
			return current.kind === 'none' || (current.kind === 'team' && current.name === admitted.name);
		}
	}
};

/**
Returns the change for a request of the team `admitted`, by the decision on the same request
under the configuration in force.

@example
```
recheckAccess({kind: 'anonymous'}, decideAccess(circumstances)); // {kind: 'unchanged'}
```
*/
export const recheckAccess = (admitted: RequestTeam, current: AccessDecision): AccessChange => {
	if (current.kind !== 'admitted') {
		return current;
	}

	return {kind: isSameTeam(admitted, current.team) ? 'unchanged' : 'moved'};
};
