/**
Everything that can happen to a claim of leadership.
*/

/**
Events of one service's leadership at one gateway. `targets` names the sidecars
that can be reached, each with its incarnation.
*/
export type LeadershipEvent =
	| {readonly kind: 'tick'; readonly isCandidate: boolean; readonly targets: readonly string[]}
	| {readonly kind: 'acquired'; readonly askedAt: number; readonly fencingNumber: number; readonly lease: string; readonly seconds: number}
	| {readonly kind: 'not acquired'}
	| {readonly kind: 'renewed'; readonly askedAt: number; readonly seconds: number}
	| {readonly kind: 'renewal failed'}
	| {readonly kind: 'fence raised'; readonly target: string; readonly fencingNumber: number; readonly settled: boolean}
	| {readonly kind: 'resign'};
