/**
Decides how often a gateway sends its counts.

It addresses large fleets, in which each receiver gets the messages of all gateways.
*/

const minMilliseconds = 250;
/** Messages per second that one receiver gets from all gateways together, at most. */
const maxMessagesPerSecond = 100;

/**
Returns the pause between two messages, in milliseconds. A gateway that is killed loses at most the counts of this time.

@example
```
usagePace(22); // 250
usagePace(370); // 3700
```
*/
export const usagePace = (gatewayCount: number): number => Math.max(minMilliseconds, gatewayCount * 1000 / maxMessagesPerSecond);
