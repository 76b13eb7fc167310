/**
State of one gateway in the leader election of one service.
*/

/**
- `following`: another gateway leads, or none does; from `acquireAt` on the lease may be requested.
- `acquiring`: the lease has been requested from the store.
- `raising`: the lease is held, but no sidecar has raised its fencing number and settled yet.
- `leading`: orders may be given until `validUntil`.

`validUntil` is on the gateway's monotonic clock. It is counted from the moment
before the store was called, so it is never later than the expiry at the store.
*/
export type LeadershipState =
	| {readonly kind: 'following'; readonly acquireAt: number}
	| {readonly kind: 'acquiring'}
	| {
		readonly kind: 'raising' | 'leading';
		readonly fencingNumber: number;
		readonly lease: string;
		readonly validUntil: number;
		readonly renewAt: number;
		readonly renewing: boolean;
		/** Targets, each with its sidecar's incarnation, that may be given orders: the fencing number is raised there and no earlier order is running. */
		readonly settledTargets: readonly string[];
	};
