/**
What the head of a target's answer says of the target's rate limit.
*/

/**
- `none`: the target names no limit, so none holds any more.
- `named`: the requests a second that the target takes from all gateways together.
- `malformed`: what the target says is no limit, and changes nothing.
*/
export type NamedRateLimit =
	| {readonly kind: 'none'}
	| {readonly kind: 'named'; readonly requestsPerSecond: number}
	| {readonly kind: 'malformed'};
