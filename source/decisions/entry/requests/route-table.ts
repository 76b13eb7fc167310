/**
Finds the route of a request.

The table is built once for each configuration. With hundreds of routes, a request
then costs one lookup by host and a scan of that host's path prefixes, longest first.
*/
import * as option from 'fp-ts/lib/Option.js';
import type {Route} from '../../../fleet/route.js';

const normalizeHost = (host: string): string => host.toLowerCase().replace(/:\d+$/, '');

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

	/** Returns the route with the longest matching path prefix. The query is not part of the path. */
	find(host: string, requestTarget: string): option.Option<Route> {
		const path = requestTarget.split('?', 1)[0]!;
		const candidates = this.#byHost.get(normalizeHost(host)) ?? [];
		return option.fromNullable(candidates.find(route => path.startsWith(route.pathPrefix)));
	}
}
