/**
Decides what to do with an open link from the times of its last traffic.

Something between two ends can lose track of an open connection for good while
new connections work. Silence therefore condemns the connection, never the peer:
the link is replaced and streams resume on the new one.
*/

const heartbeatMilliseconds = 1000;
const silentMilliseconds = 2500;
const idleCloseMilliseconds = 60_000;

type LinkTimes = {
	readonly now: number;
	readonly lastSentAt: number;
	readonly lastReceivedAt: number;
	readonly lastUsedAt: number;
	readonly inUse: boolean;
};

type LinkAction = 'none' | 'send heartbeat' | 'replace' | 'close idle';

/**
Returns the one action that the link needs now.

Any frame counts as a heartbeat, so a busy link sends none.

@example
```
linkHealth({now: 3000, lastSentAt: 2900, lastReceivedAt: 0, lastUsedAt: 2900, inUse: true}); // 'replace'
```
*/
export const linkHealth = ({now, lastSentAt, lastReceivedAt, lastUsedAt, inUse}: LinkTimes): LinkAction => {
	if (now - lastReceivedAt > silentMilliseconds) {
		return 'replace';
	}

	if (!inUse && now - lastUsedAt > idleCloseMilliseconds) {
		return 'close idle';
	}

	return now - lastSentAt >= heartbeatMilliseconds ? 'send heartbeat' : 'none';
};
