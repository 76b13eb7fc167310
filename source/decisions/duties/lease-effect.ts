/**
Actions that the lease decision requests.
*/

/**
Effects of one event, carried out in order.

- `look`: ask the store whether the lease is vacant.
- `acquire`: request the lease from the store.
- `renew`: renew the lease at the store.
- `end lease`: give the lease back before it expires.
- `hold`: the lease is held; calls are allowed after the waiting time.
- `step down`: make no more calls.
*/
export type LeaseEffect =
	| {readonly kind: 'look'}
	| {readonly kind: 'acquire'}
	| {readonly kind: 'renew'; readonly lease: string | number}
	| {readonly kind: 'end lease'; readonly lease: string | number}
	| {readonly kind: 'hold'; readonly token: number}
	| {readonly kind: 'step down'; readonly token: number; readonly reason: string};
