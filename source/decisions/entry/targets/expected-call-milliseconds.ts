/**
Estimates how long a call takes at a target of a plain service, and what its way there costs.
*/
import type {CallTarget} from './call-target.js';

/** Time of a call while none has been measured. */
const assumedCallMilliseconds = 40;
/** How much longer a call takes when the target is at its capacity than when it is idle, as a share. It grows with the square of the calls in progress, so that load spreads before a target is full. */
const fullTargetShare = 0.5;
/** What sending a call to another availability zone is worth in waiting: per call, and per kilobyte of its body. */
const crossZonePenalty = {milliseconds: 8, millisecondsPerKilobyte: 0.7} as const;
/** Penalty for a target all of whose recent outcomes are failures, in calls. */
const failurePenaltyCalls = 4;

type Way = {readonly availabilityZone: string; readonly bodyBytes: number};

/** How many times as long a call takes beside those in progress. */
const congestion = ({attempts, capacity, slots}: CallTarget): number => {
	const usedShare = (attempts + 1) / Math.max(1, Math.min(slots, capacity ?? slots));
	return usedShare <= 1 ? 1 + (fullTargetShare * (usedShare ** 2)) : usedShare * (1 + fullTargetShare);
};

/**
Returns the expected time of one more call in milliseconds, with penalties.

@example
```
expectedCallMilliseconds(target, {availabilityZone: 'a', bodyBytes: 900});
```
*/
export const expectedCallMilliseconds = (target: CallTarget, {availabilityZone, bodyBytes}: Way): number => {
	const {speed = 1, slowdown = 1, callMilliseconds = assumedCallMilliseconds, failureShare} = target;
	const zonePenalty = target.availabilityZone === availabilityZone ? 0 : crossZonePenalty.milliseconds + (bodyBytes / 1000 * crossZonePenalty.millisecondsPerKilobyte);
	return (callMilliseconds * slowdown / speed * congestion(target)) + (callMilliseconds * failureShare * failurePenaltyCalls) + zonePenalty;
};
