/**
Orders requests by the priority of their team, and within that by the priority of their route.

The load: a deployment may give its teams any numbers as priorities, such as 10, 20 and 30,
and an engine's queue knows ten ranks. So the priorities that the configuration uses are
numbered from 0 on, without gaps. Requests without a key of a team come after those of all teams.
*/
import type {FleetConfiguration} from '../../fleet/fleet-configuration.js';
import type {RequestTeam} from '../../fleet/request-team.js';
import type {Route} from '../../fleet/route.js';
import type {Urgency} from './urgency.js';

/** Numbers the distinct values from the lowest on. */
const numberValues = (values: readonly number[]): ReadonlyMap<number, number> => new Map([...new Set(values)]
	.toSorted((first, second) => first - second)
	.map((value, index) => [value, index]));

/**
Built once for each configuration.

@example
```
const {order} = new UrgencyLevels(configuration).of(team, route);
```
*/
export class UrgencyLevels {
	readonly #teamLevels: ReadonlyMap<number, number>;
	readonly #routeLevels: ReadonlyMap<number, number>;
	/** Teams' levels, and one more if a request can come without a key. */
	readonly #teamLevelCount: number;

	constructor({teams, routes}: Pick<FleetConfiguration, 'teams' | 'routes'>) {
		this.#teamLevels = numberValues((teams ?? []).map(({priority}) => priority));
		// Other routes have no queue in which a priority counts.
		const queued = routes.filter(({kind}) => kind === 'streaming');
		this.#routeLevels = numberValues(queued.map(({priority}) => priority));
		this.#teamLevelCount = this.#teamLevels.size + (queued.some(({isPublic}) => isPublic) ? 1 : 0);
	}

	of(team: RequestTeam, route: Pick<Route, 'priority'>): Urgency {
		if (team.kind === 'none') {
			return {order: route.priority, levels: undefined};
		}

		const routeCount = Math.max(1, this.#routeLevels.size);
		const teamLevel = team.kind === 'team' ? this.#teamLevels.get(team.priority) ?? 0 : this.#teamLevels.size;
		return {
			order: (teamLevel * routeCount) + (this.#routeLevels.get(route.priority) ?? 0),
			levels: this.#teamLevelCount * routeCount,
		};
	}
}
