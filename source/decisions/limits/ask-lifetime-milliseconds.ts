/**
Sets how long an ask for permits counts, and so how often it is made again.

A gateway that asks seldom gets permits for requests that it has refused long ago. With hundreds of
gateways, frequent asks would be most of what the owner of a target's permits does.
*/

const range = {least: 100, most: 1000} as const;
/** Time that is left between the asks of two gateways for one target. */
const millisecondsPerGateway = 4;

/**
Returns the time, in milliseconds, for a fleet of this many gateways.

@example
```
askLifetimeMilliseconds(68); // 272
```
*/
export const askLifetimeMilliseconds = (gateways: number): number => Math.min(range.most, Math.max(range.least, gateways * millisecondsPerGateway));
