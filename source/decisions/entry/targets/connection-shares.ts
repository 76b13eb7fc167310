/**
Divides the connections that a target accepts.

The load that it answers: a crowd of callers sends requests ahead without waiting for answers, so
that there are always more of them than a target has connections. A caller that sends one request
and waits for its answer finds no connection free, again and again. So some connections are kept for
requests of the latter kind.
*/

/** Share of a target's connection limit that all gateways together use. */
const usableShare = 0.9;
/** Part of a gateway's connections that requests which were sent ahead may use. */
const sentAheadShare = 0.75;

type Shares = {
	/** Connections that this gateway may have. */
	readonly all: number;
	/** Those that may carry requests that were sent ahead at the same time. */
	readonly sentAhead: number;
};

/**
Returns what one gateway may use of a target; one connection at least. With a single connection there is nothing to keep.

@example
```
connectionShares({maxConnections: 110, gateways: 1}); // {all: 99, sentAhead: 74}
```
*/
export const connectionShares = ({maxConnections, gateways}: {readonly maxConnections: number; readonly gateways: number}): Shares => {
	const all = Math.max(1, Math.floor(maxConnections * usableShare / Math.max(1, gateways)));
	return {all, sentAhead: Math.max(1, Math.floor(all * sentAheadShare))};
};
