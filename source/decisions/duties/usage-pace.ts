/**
Decides how often a gateway sends its counts.

It addresses large fleets, in which each receiver gets the messages of all gateways.
*/

const minMilliseconds = 250;
/** Messages per second that one receiver gets from all gateways together, about 20 KB/s; those at the end of each window are always sent. */
const maxMessagesPerSecond = 80;

/**
Returns the pause between two messages, in milliseconds, where a window does not end before. A gateway that is killed loses
at most the counts of this time, or of the window.

@example
```
usagePace(22, 5000); // 291
usagePace(370, 5000); // 61_667, so only the end of each window counts
```
*/
export const usagePace = (gatewayCount: number, windowMilliseconds: number): number => {
	const atWindowEnds = gatewayCount * 1000 / windowMilliseconds;
	return Math.max(minMilliseconds, gatewayCount * 1000 / Math.max(1, maxMessagesPerSecond - atWindowEnds));
};
