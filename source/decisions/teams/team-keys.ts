/**
Finds the team of a key.

The table is built once for each configuration. With 13,000 teams of two keys each, a
request costs one lookup in a hash map, as it does with ten. Keys are compared exactly.

A team that could never be sent to a target, and a key that no request can carry, are
ignored and counted. A key that two teams have belongs to the first one.
*/
import * as option from 'fp-ts/lib/Option.js';
import type {RequestTeam} from '../../fleet/request-team.js';
import type {Team} from '../../fleet/team.js';

type KnownTeam = Extract<RequestTeam, {readonly kind: 'team'}>;

/** Text that passes through a header unchanged: printable ASCII without a space at either end. */
const headerText = /^[!-~](?:[ -~]*[!-~])?$/;

/**
Teams by key.

@example
```
const team = new TeamKeys(configuration.teams).find('k-1');
```
*/
export class TeamKeys {
	/** False when the configuration has no teams, so that requests need no key. */
	readonly isRequired: boolean;
	/** Teams and keys that are ignored because they are malformed, or because another team has the key. */
	readonly ignored: {readonly teams: number; readonly keys: number};
	readonly #byKey = new Map<string, KnownTeam>();

	constructor(teams: readonly Team[] | undefined) {
		this.isRequired = teams !== undefined;
		const named = (teams ?? []).filter(({name}) => headerText.test(name));
		const ignoredKeys = named.reduce((sum, team) => sum + this.#add(team), 0);
		this.ignored = {teams: (teams?.length ?? 0) - named.length, keys: ignoredKeys};
	}

	/** Number of keys that admit requests. */
	get size(): number {
		return this.#byKey.size;
	}

	/** Returns the team that has exactly this key. */
	find(key: string): option.Option<KnownTeam> {
		return option.fromNullable(this.#byKey.get(key));
	}

	/** Adds the keys of a team; returns how many of them are ignored. */
	#add({name, keys, priority}: Team): number {
		const team: KnownTeam = {kind: 'team', name, priority};
		const usable = keys.filter(key => headerText.test(key) && (this.#byKey.get(key) ?? team).name === name);
		for (const key of usable) {
			this.#byKey.set(key, this.#byKey.get(key) ?? team);
		}

		return keys.length - usable.length;
	}
}
