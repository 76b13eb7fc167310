/**
Inputs of the leadership state machine.
*/

/**
Events of one service's leadership at one gateway.

`targets` names the reachable sidecars, each with its incarnation. `seconds` is
the remaining duration of the lease, 0 when it is lost, counted from `askedAt`,
when the store was called. `settled` is true when the sidecar carries out no
earlier order.
*/
export type LeadershipEvent =
	| {readonly kind: 'tick'; readonly isCandidate: boolean; readonly targets: readonly string[]}
	| {readonly kind: 'acquired'; readonly askedAt: number; readonly fencingNumber: number; readonly lease: string; readonly seconds: number}
	| {readonly kind: 'not acquired'}
	| {readonly kind: 'renewed'; readonly askedAt: number; readonly seconds: number}
	| {readonly kind: 'renewal failed'}
	| {readonly kind: 'fence raised'; readonly target: string; readonly fencingNumber: number; readonly settled: boolean}
	| {readonly kind: 'resign'};
