/**
Tells in which fleets gateways no longer send every digest to all others on every tick.
*/

/** Up to this many gateways, a digest is sent on every tick. */
const smallFleetGateways = 8;

/**
True for more than eight gateways, the own one included.

@example
```
isLargeFleet(31); // true
```
*/
export const isLargeFleet = (gateways: number): boolean => gateways > smallFleetGateways;
