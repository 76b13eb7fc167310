/**
Whether a request may run, and for which team.
*/
import type {RequestTeam} from '../../fleet/request-team.js';

/**
- `admitted`: it may run.
- `denied`: it may not, by a configuration that was confirmed recently.
- `undecided`: the configuration in force does not admit it, but a newer one may.

`key` is what was found in place of the key of a team.
*/
export type AccessDecision =
	| {readonly kind: 'admitted'; readonly team: RequestTeam; readonly key: 'known' | 'not needed' | 'absent' | 'empty' | 'repeated' | 'unknown'}
	| {readonly kind: 'denied' | 'undecided'; readonly key: 'absent' | 'empty' | 'repeated' | 'unknown'};
