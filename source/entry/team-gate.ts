/**
Decides by the configuration in force whether a request may run, and counts and describes each decision.

Keys pass through here and go no further: no counter, log line or field of a request has one.
*/
import {decideAccess} from '../decisions/teams/decide-access.js';
import {recheckAccess} from '../decisions/teams/recheck-access.js';
import type {AccessChange} from '../decisions/teams/access-change.js';
import type {AccessDecision} from '../decisions/teams/access-decision.js';
import type {ConfigurationInForce} from '../decisions/entry/store/configuration-in-force.js';
import type {RequestTeam} from '../fleet/request-team.js';
import type {Route} from '../fleet/route.js';
import type {EntryContext} from './entry-context.js';

type TeamGateOptions = {
	readonly context: Pick<EntryContext, 'metrics' | 'now'>;
	readonly inForce: ConfigurationInForce;
};

/**
One instance a process.

@example
```
const access = gate.decide(route, protocol.readCredentials(request.rawHeaders));
```
*/
export class TeamGate {
	readonly #options: TeamGateOptions;

	constructor(options: TeamGateOptions) {
		this.#options = options;
	}

	/** Decides on a request that has just been routed. */
	decide(route: Route, credentials: readonly string[]): AccessDecision {
		const access = this.#decide(route, credentials);
		if (access.key !== 'known' && access.key !== 'not needed') {
			this.#options.context.metrics.count(`access.${access.kind}.key-${access.key}`);
		}

		return access;
	}

	/** Decides again on a request that was admitted for a team. */
	recheck(team: RequestTeam, route: Route, credentials: readonly string[]): AccessChange {
		return recheckAccess(team, this.#decide(route, credentials));
	}

	#decide({isPublic}: Route, credentials: readonly string[]): AccessDecision {
		const {inForce, context} = this.#options;
		return decideAccess({
			teamKeys: inForce.teamKeys, isPublic, credentials, isFresh: inForce.isFresh(context.now()),
		});
	}
}
