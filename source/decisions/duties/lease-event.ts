/**
Inputs of the lease decision.
*/

/** Why a holder gives up the lease although it may still be valid. */
type Reason = 'fenced' | 'superseded';

/**
- `tick`: comes several times a second. `rank` is the gateway's place among the candidates,
  undefined when it is none; `heardAt` is when another holder was last heard.
- `looked`, `look failed`: the store's answer on whether the lease is vacant.
- `acquired`: `askedAt` is from before the first call of the acquisition.
- `renewed`: the store said in that era that the lease is held.
- `lease lost`: the store said that it is not held.
- `give up`: the platform has seen a higher token, or another gateway holds the lease.
- `resign`: the process is about to end.
*/
export type LeaseEvent =
	| {readonly kind: 'tick'; readonly rank: number | undefined; readonly heardAt: number; readonly isOutnumbered: boolean}
	| {readonly kind: 'looked'; readonly isVacant: boolean}
	| {readonly kind: 'look failed'}
	| {
		readonly kind: 'acquired';
		readonly askedAt: number;
		readonly token: number;
		readonly era: number;
		readonly revision: number;
		readonly lease: string | number;
		readonly durationMilliseconds: number;
	}
	| {readonly kind: 'not acquired'}
	| {readonly kind: 'renewed'; readonly askedAt: number; readonly era: number; readonly durationMilliseconds: number}
	| {readonly kind: 'renewal failed'}
	| {readonly kind: 'lease lost'}
	| {readonly kind: 'give up'; readonly reason: Reason}
	| {readonly kind: 'resign'};
