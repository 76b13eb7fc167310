/**
Plays days in virtual time and gathers what broke on them.
*/
import {VirtualDay} from './virtual-day.js';

type Violation = VirtualDay['violations'][number] & {readonly seed: number};

/** What the rule of the users allows a target that leaves, on large fleets. */
const drainMilliseconds = 3000;

/**
Returns the violations of all days, each with its seed.

@example
```
const violations = await playDays([85, 134, 204]);
```
*/
export const playDays = async (seeds: readonly number[], {gateways = 10, restores = 0}: {readonly gateways?: number; readonly restores?: number} = {}): Promise<readonly Violation[]> => {
	const violations: Violation[] = [];
	for (const seed of seeds) {
		const day = new VirtualDay({
			seed, gateways, targets: 12, drainMilliseconds, restores,
		});
		await day.run(); // eslint-disable-line no-await-in-loop
		violations.push(...day.violations.map(violation => ({...violation, seed})));
	}

	return violations;
};
