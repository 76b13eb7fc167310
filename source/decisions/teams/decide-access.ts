/**
Decides whether a request may run, and for which team.

The load: callers with keys that were removed, mistyped or never valid, beside callers
whose key was added a moment ago, at a gateway that may be cut off from the store. A caller
that is told that its key is unknown gives up, so that is said only by a configuration that
was confirmed recently. A known key is accepted as long as the configuration is in force.

A key that is given more than once is ambiguous, and counts as unknown: the gateway and
what stands before it may read different ones.
*/
import * as option from 'fp-ts/lib/Option.js';
import type {AccessDecision} from './access-decision.js';
import type {TeamKeys} from './team-keys.js';

type Circumstances = {
	readonly teamKeys: Pick<TeamKeys, 'isRequired' | 'find'>;
	readonly isPublic: boolean;
	/** The values of the headers that carry a key, in order. */
	readonly credentials: readonly string[];
	/** True when the configuration in force was confirmed recently to be the newest one. */
	readonly isFresh: boolean;
};

type UnusableKey = Extract<AccessDecision, {readonly kind: 'denied' | 'undecided'}>['key'];

const unusableKey = (credentials: readonly string[]): UnusableKey => {
	if (credentials.length > 1) {
		return 'repeated';
	}

	if (credentials[0] === undefined) {
		return 'absent';
	}

	return credentials[0] === '' ? 'empty' : 'unknown';
};

/**
Returns the decision by the configuration in force.

@example
```
const access = decideAccess({teamKeys, isPublic: false, credentials: ['k-1'], isFresh: true});
```
*/
export const decideAccess = ({teamKeys, isPublic, credentials, isFresh}: Circumstances): AccessDecision => {
	if (!teamKeys.isRequired) {
		return {kind: 'admitted', team: {kind: 'none'}, key: 'not needed'};
	}

	const [credential = ''] = credentials;
	const team = credentials.length === 1 ? teamKeys.find(credential) : option.none;
	if (option.isSome(team)) {
		return {kind: 'admitted', team: team.value, key: 'known'};
	}

	const key = unusableKey(credentials);
	if (isPublic) {
		return {kind: 'admitted', team: {kind: 'anonymous'}, key};
	}

	return {kind: isFresh ? 'denied' : 'undecided', key};
};
