/**
The team on whose behalf a request is made.
*/

/**
- `none`: the configuration has no teams.
- `anonymous`: the route is public, and the request has no key of a team.
- `team`: the request has a key of this team. `priority` 0 is the most urgent.
*/
export type RequestTeam =
	| {readonly kind: 'none'}
	| {readonly kind: 'anonymous'}
	| {readonly kind: 'team'; readonly name: string; readonly priority: number};
