/**
Decides how often a gateway tells all others of its work.

The load it answers: digests go from each gateway to each other, so their bytes
grow with the square of the fleet. With five gateways they are a hundredth of
what requests weigh; with thirty they outweigh them. What must not wait has
messages of its own, to the one gateway that it concerns.
*/

/** Gateways up to which every tick brings a digest. */
const fewGateways = 8;
/** A digest is left out for so many ticks at most, as a peer's word counts for 1.5 s. */
const mostTicks = 5;

type Pace = {
	/** Ticks of the exchange for each digest. */
	readonly ticks: number;
	/** Whether a long prompt that was placed is told to all at once. */
	readonly isPlacementTold: boolean;
};

/**
Returns the pace for so many gateways, the own one included.

@example
```
digestPace(31); // {ticks: 4, isPlacementTold: false}
```
*/
export const digestPace = (gateways: number): Pace => ({
	ticks: Math.min(mostTicks, Math.max(1, Math.ceil(gateways / fewGateways))),
	isPlacementTold: gateways <= fewGateways,
});
