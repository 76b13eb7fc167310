/**
Plays days on which retries are many, on fleets of several sizes.
*/
import {VirtualRetryDay} from './virtual-retry-day.js';

type Options = ConstructorParameters<typeof VirtualRetryDay>[0];

type Played = {
	/** Days and services on which the rule broke, each with its worst window. */
	readonly broken: ReadonlyArray<{readonly gateways: number; readonly seed: number; readonly service: string}>;
	readonly days: number;
	readonly retries: number;
	/** Sent although their gateway's window had no room at that moment. */
	readonly overdrawn: number;
	readonly denied: number;
	/** Denied although the rule would have allowed them at that moment. */
	readonly deniedInBounds: number;
};

const fleets = [
	{gateways: 5, extra: 56, loads: {floor: 63, models: 45}},
	{gateways: 20, extra: 80, loads: {floor: 80, models: 60}},
	{gateways: 31, extra: 102, loads: {floor: 100, models: 60}},
] as const;

/**
Returns what broke on the days of these seeds, on each fleet.

@example
```
const {broken} = await playRetryDays([1, 2, 3], {deeds: ['cut'], hasWaits: false});
```
*/
export const playRetryDays = async (seeds: readonly number[], trouble: Pick<Options, 'deeds' | 'hasWaits'>): Promise<Played> => {
	let played: Played = {
		broken: [], days: 0, retries: 0, overdrawn: 0, denied: 0, deniedInBounds: 0,
	};
	for (const fleet of fleets) {
		for (const seed of seeds) {
			const day = new VirtualRetryDay({...fleet, ...trouble, seed});
			await day.run(); // eslint-disable-line no-await-in-loop
			const {judge} = day;
			played = {
				broken: [...played.broken, ...judge.violations().map(violation => ({gateways: fleet.gateways, seed, ...violation}))],
				days: played.days + 1,
				retries: played.retries + judge.retries,
				overdrawn: played.overdrawn + judge.overdrawn,
				denied: played.denied + judge.denials.all,
				deniedInBounds: played.deniedInBounds + judge.denials.inBounds,
			};
		}
	}

	return played;
};
