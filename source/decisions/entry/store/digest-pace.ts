/**
Sets how often a gateway sends its digest to all other gateways.

Every gateway sends digests to every other one, so their bytes grow with the
square of the number of gateways. With five gateways they are a hundredth of the
bytes of requests; with thirty they exceed them. Urgent information does not wait
for a digest: it is sent in separate messages to the one gateway that needs it.
*/
import {isLargeFleet} from '../../load/is-large-fleet.js';

/** Gateways for each tick between two digests. */
const gatewaysPerTick = 8;
/** Upper bound of the interval, because what a peer has reported is valid for 1.5 s. */
const maxTicks = 5;

type Pace = {
	/** Ticks of the peer exchange for each digest. */
	readonly ticks: number;
	/** Whether the placement of a long prompt is sent to all gateways immediately. */
	readonly isPlacementBroadcast: boolean;
};

/**
Returns the interval for a fleet of this many gateways, the own one included.

@example
```
digestPace(31); // {ticks: 4, isPlacementBroadcast: false}
```
*/
export const digestPace = (gateways: number): Pace => ({
	ticks: Math.min(maxTicks, Math.max(1, Math.ceil(gateways / gatewaysPerTick))),
	isPlacementBroadcast: !isLargeFleet(gateways),
});
