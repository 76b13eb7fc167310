/**
Decides what to do with an open link from the times of its last traffic.

Something between two ends can lose track of an open connection for good while
new connections work. Silence therefore condemns the connection, never the peer:
the link is replaced and streams resume on the new one.
*/

/** With work under way, silence must be noticed soon; without, heartbeats would be most of a link's cost. */
const heartbeatMilliseconds = {busy: 1000, idle: 4000} as const;
const silentMilliseconds = {busy: 2500, idle: 10_000} as const;
/** At 370 gateways before 610 targets a longer time would keep most links of a full mesh open. */
const idleCloseMilliseconds = 10_000;

type LinkTimes = {
	readonly now: number;
	readonly lastSentAt: number;
	readonly lastReceivedAt: number;
	readonly lastUsedAt: number;
	/** True for a link that stays open without work. */
	readonly keepOpen: boolean;
	/** Since when work has been under way over the link, or undefined without any. */
	readonly busySince: number | undefined;
};

type LinkAction = 'none' | 'send heartbeat' | 'replace' | 'close idle';

/**
Returns the one action that the link needs now.

Any frame counts as a heartbeat, so a busy link sends few. A link that has just
become busy is given its time from then, as its peer was not bound to send before.

@example
```
linkHealth({now: 3000, lastSentAt: 2900, lastReceivedAt: 0, lastUsedAt: 2900, keepOpen: true, busySince: 100}); // 'replace'
```
*/
export const linkHealth = ({now, lastSentAt, lastReceivedAt, lastUsedAt, keepOpen, busySince}: LinkTimes): LinkAction => {
	const pace = busySince === undefined ? 'idle' : 'busy';
	if (now - Math.max(lastReceivedAt, busySince ?? lastReceivedAt) > silentMilliseconds[pace]) {
		return 'replace';
	}

	if (!keepOpen && busySince === undefined && now - lastUsedAt > idleCloseMilliseconds) {
		return 'close idle';
	}

	return now - lastSentAt >= heartbeatMilliseconds[pace] ? 'send heartbeat' : 'none';
};
