/**
Finds the route of a request.

Built once for each configuration, so that hundreds of routes cost a request one
look-up by host and a scan of that host's prefixes, longest first.
*/
import * as option from 'fp-ts/lib/Option.js';
import type {Route} from '../../fleet/route.js';

const bareHost = (host: string): string => host.toLowerCase().replace(/:\d+$/, '');

/**
Routes by host and path prefix.

@example
```
const route = new RouteTable(configuration.routes).find('ficu95.example', '/lots/7?full=1');
```
*/
export class RouteTable {
	readonly #byHost: ReadonlyMap<string, readonly Route[]>;

	constructor(routes: readonly Route[]) {
		const byHost = new Map<string, Route[]>();
		for (const route of routes.toSorted((first, second) => second.pathPrefix.length - first.pathPrefix.length)) {
			byHost.set(route.host, [...byHost.get(route.host) ?? [], route]);
		}

		this.#byHost = byHost;
	}

	/** The route with the longest prefix that begins the path; a query is no part of it. */
	find(host: string, target: string): option.Option<Route> {
		const path = target.split('?', 1)[0]!;
		const candidates = this.#byHost.get(bareHost(host)) ?? [];
		return option.fromNullable(candidates.find(route => path.startsWith(route.pathPrefix)));
	}
}
