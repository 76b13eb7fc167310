/**
Decides from the times of the last traffic whether a link needs a heartbeat, a replacement or closing.

A device on the path can lose the state of an open connection for good while new
connections work. A link on which nothing is received is therefore replaced and
its streams resume on the new connection; the peer is not taken to be down.
*/

/** Heartbeat interval. A busy link must detect a dead connection soon; on an idle link, frequent heartbeats would be most of its cost. */
const heartbeatIntervalMilliseconds = {busy: 1000, idle: 4000} as const;
/** A link that received nothing for longer than this is replaced. */
const receiveTimeoutMilliseconds = {busy: 2500, idle: 10_000} as const;
/** A link without use is closed after this time. With 370 gateways and 610 targets, a longer time would keep most links of the full mesh open. */
const idleTimeoutMilliseconds = 10_000;

type LinkTimes = {
	readonly now: number;
	readonly lastSentAt: number;
	readonly lastReceivedAt: number;
	readonly lastUsedAt: number;
	/** True for a link that stays open while no work uses it. */
	readonly keepOpen: boolean;
	/** Since when the link has had work under way, or undefined when it has none. */
	readonly busySince: number | undefined;
};

type LinkAction = 'none' | 'send heartbeat' | 'replace' | 'close idle';

/**
Returns the one action that the link needs now.

Any frame counts as a heartbeat, so a link with traffic sends few heartbeats.
The receive timeout of a busy link starts no earlier than the moment when it
became busy, as the peer had to send only at the idle interval before that.

@example
```
nextLinkAction({now: 3000, lastSentAt: 2900, lastReceivedAt: 0, lastUsedAt: 2900, keepOpen: true, busySince: 100}); // 'replace'
```
*/
export const nextLinkAction = ({now, lastSentAt, lastReceivedAt, lastUsedAt, keepOpen, busySince}: LinkTimes): LinkAction => {
	const activity = busySince === undefined ? 'idle' : 'busy';
	if (now - Math.max(lastReceivedAt, busySince ?? lastReceivedAt) > receiveTimeoutMilliseconds[activity]) {
		return 'replace';
	}

	if (!keepOpen && busySince === undefined && now - lastUsedAt > idleTimeoutMilliseconds) {
		return 'close idle';
	}

	return now - lastSentAt >= heartbeatIntervalMilliseconds[activity] ? 'send heartbeat' : 'none';
};
