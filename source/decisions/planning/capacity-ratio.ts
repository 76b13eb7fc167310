/**
Computes the ratio of the engines' capacity to a demand for prefill and decode.
*/
import type {EngineRole} from '../../generated/messages.js';
import type {EngineThroughput} from './engine-throughput.js';

type Demand = {readonly prefill: number; readonly decode: number};
type RoleCounts = Readonly<Record<EngineRole, number>>;

/** Roles sorted by their ratio of prefill to decode throughput, highest first. */
const rolesByPrefillAdvantage = (speed: EngineThroughput): readonly EngineRole[] => (['prefill', 'mixed', 'decode'] as const)
	.toSorted((first, second) => (speed[second].prefill / speed[second].decode) - (speed[first].prefill / speed[first].decode));

/**
Returns by which factor the demand could grow until the engines are saturated; 1 is exactly enough.

Prefill is assigned to the roles with the highest ratio of prefill to decode
throughput and decode to the others; at most one role does both. This is the
optimal assignment, as an engine's prefill time and decode time add up.

@example
```
capacityRatio({prefill: 40_000, decode: 2000}, {prefill: 2, mixed: 0, decode: 1}, speed); // 0.9
```
*/
export const capacityRatio = (demand: Demand, counts: RoleCounts, speed: EngineThroughput): number => {
	const roles = rolesByPrefillAdvantage(speed).filter(role => counts[role] > 0);
	const ratios = roles.map((role, index) => {
		const prefillBefore = sum(roles.slice(0, index).map(other => counts[other] * speed[other].prefill));
		const decodeAfter = sum(roles.slice(index + 1).map(other => counts[other] * speed[other].decode));
		return ratioWithSplit(demand, {
			prefillBefore, decodeAfter, prefill: counts[role] * speed[role].prefill, decode: counts[role] * speed[role].decode,
		});
	});
	return Math.max(0, ...ratios);
};

type Split = {readonly prefillBefore: number; readonly decodeAfter: number; readonly prefill: number; readonly decode: number};

/** The best ratio when one role divides its time and all others do either prefill or decode. */
const ratioWithSplit = (demand: Demand, {prefillBefore, decodeAfter, prefill, decode}: Split): number => {
	const prefillTime = prefill > 0 ? demand.prefill / prefill : 0;
	const decodeTime = decode > 0 ? demand.decode / decode : 0;
	const neededTime = prefillTime + decodeTime;
	if (neededTime === 0) {
		return Number.POSITIVE_INFINITY;
	}

	const combinedRatio = (1 + (prefillBefore / prefill) + (decodeAfter / decode)) / neededTime;
	const prefillLimit = demand.prefill > 0 ? (prefillBefore + prefill) / demand.prefill : Number.POSITIVE_INFINITY;
	const decodeLimit = demand.decode > 0 ? (decodeAfter + decode) / demand.decode : Number.POSITIVE_INFINITY;
	return Math.min(combinedRatio, prefillLimit, decodeLimit);
};

const sum = (values: readonly number[]): number => values.reduce((total, value) => total + value, 0);
