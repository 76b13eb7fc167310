/**
State of one gateway's claim to lead one service.
*/

/**
- `following`: another leads, or nobody does.
- `acquiring`: the store has been asked for the lease.
- `raising`: the lease is held; sidecars still have to raise their fencing number and settle.
- `leading`: orders may be given until `validUntil`.

`validUntil` is on the gateway's monotonic clock and counted from the moment
before the store was asked, so it never ends after the store's own count.
*/
export type LeadershipState =
	| {readonly kind: 'following'; readonly tryAt: number}
	| {readonly kind: 'acquiring'}
	| {
		readonly kind: 'raising' | 'leading';
		readonly fencingNumber: number;
		readonly lease: string;
		readonly validUntil: number;
		readonly renewAt: number;
		readonly renewing: boolean;
		/** Targets, each with its sidecar's incarnation, that may be given orders. */
		readonly settled: readonly string[];
	};
