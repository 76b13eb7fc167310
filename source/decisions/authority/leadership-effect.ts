/**
Actions that the leadership state machine requests.
*/

/**
Effects of one event, carried out in order.

- `acquire`: request the lease from the store.
- `renew`: renew the lease at the store.
- `release`: give the lease back before it expires.
- `raise fence`: send a sidecar the new fencing number.
- `lead`: start planning orders.
- `step down`: stop giving orders at once.
*/
export type LeadershipEffect =
	| {readonly kind: 'acquire'}
	| {readonly kind: 'renew'; readonly lease: string}
	| {readonly kind: 'release'; readonly lease: string}
	| {readonly kind: 'raise fence'; readonly target: string; readonly fencingNumber: number}
	| {readonly kind: 'lead'; readonly fencingNumber: number}
	| {readonly kind: 'step down'};
