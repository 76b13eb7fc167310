/**
The share of a demand that a set of engines can serve.
*/
import type {EngineRole} from '../../generated/messages.js';
import type {EngineSpeed} from './engine-speed.js';

type Demand = {readonly prefill: number; readonly decode: number};
type RoleCounts = Readonly<Record<EngineRole, number>>;

/** Roles in order of how much better they are at prompts than at output. */
const byAdvantage = (speed: EngineSpeed): readonly EngineRole[] => (['prefill', 'mixed', 'decode'] as const)
	.toSorted((first, second) => (speed[second].prefill / speed[second].decode) - (speed[first].prefill / speed[first].decode));

/**
Returns how many times the demand the engines could serve; 1 is exactly enough.

Prompts go to the engines that are best at them and output to the others, with
at most one role doing both; that division is the best possible for engines whose
work of both kinds adds up to their time.

@example
```
servedShare({prefill: 40_000, decode: 2000}, {prefill: 2, mixed: 0, decode: 1}, speed); // 0.9
```
*/
export const servedShare = (demand: Demand, counts: RoleCounts, speed: EngineSpeed): number => {
	const roles = byAdvantage(speed).filter(role => counts[role] > 0);
	const shares = roles.map((role, index) => {
		const prefillBefore = sum(roles.slice(0, index).map(other => counts[other] * speed[other].prefill));
		const decodeAfter = sum(roles.slice(index + 1).map(other => counts[other] * speed[other].decode));
		return shareWithSplit(demand, {
			prefillBefore, decodeAfter, prefill: counts[role] * speed[role].prefill, decode: counts[role] * speed[role].decode,
		});
	});
	return Math.max(0, ...shares);
};

type Split = {readonly prefillBefore: number; readonly decodeAfter: number; readonly prefill: number; readonly decode: number};

/** The best share when one role divides its time and all others do one kind of work. */
const shareWithSplit = (demand: Demand, {prefillBefore, decodeAfter, prefill, decode}: Split): number => {
	const prefillTime = prefill > 0 ? demand.prefill / prefill : 0;
	const decodeTime = decode > 0 ? demand.decode / decode : 0;
	const needed = prefillTime + decodeTime;
	if (needed === 0) {
		return Number.POSITIVE_INFINITY;
	}

	const both = (1 + (prefillBefore / prefill) + (decodeAfter / decode)) / needed;
	const prefillLimit = demand.prefill > 0 ? (prefillBefore + prefill) / demand.prefill : Number.POSITIVE_INFINITY;
	const decodeLimit = demand.decode > 0 ? (decodeAfter + decode) / demand.decode : Number.POSITIVE_INFINITY;
	return Math.min(both, prefillLimit, decodeLimit);
};

const sum = (values: readonly number[]): number => values.reduce((total, value) => total + value, 0);
