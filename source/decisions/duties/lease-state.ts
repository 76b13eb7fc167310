/**
State of one gateway in the contention for the lease of a duty.
*/

/**
- `following`: another gateway holds the lease, or none does; from `lookAt` on the store may be asked.
- `looking`: the store has been asked whether the lease is vacant.
- `vacant`: it was vacant; it is requested at `acquireAt`, unless a holder is heard before.
- `acquiring`: the lease has been requested.
- `holding`: the lease is held. Calls are allowed from `actsFrom` until shortly before `validUntil`.
- `resigned`: the process is about to end.

Times are on the gateway's monotonic clock. `validUntil` is counted from before the store was called.
`era` and `revision` are the position in the store's history at which it was acquired; `token` is made of them.
*/
export type LeaseState =
	| {readonly kind: 'following'; readonly lookAt: number}
	| {readonly kind: 'looking'}
	| {readonly kind: 'vacant'; readonly acquireAt: number}
	| {readonly kind: 'acquiring'}
	| {
		readonly kind: 'holding';
		readonly token: number;
		readonly era: number;
		readonly revision: number;
		readonly lease: string | number;
		readonly actsFrom: number;
		readonly validUntil: number;
		readonly renewAt: number;
		readonly isRenewing: boolean;
	}
	| {readonly kind: 'resigned'};
