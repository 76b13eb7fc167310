/**
Compares the times that targets of one service take for like work, and returns their speeds.

Load: targets of one service differ in speed by a factor of up to 2.7, while on other
deployments they are all equal and only the requests differ. A speed that followed chance would
send equal targets unequal work. So a speed differs from 1 only if the difference is larger than
a minimum and than what the spread of the observations explains.
*/
import {median} from '../../shared/median.js';

/** Weight of observations from which a target counts for the median, and from which its speed may differ from 1. */
const minWeight = 3;
/** The same for a target whose speed differed before. */
const minRetainedWeight = 1;
/** Smallest difference from the median that counts, as a logarithm: 25 %. */
const minDifference = Math.log(1.25);
/** A difference counts beyond this number of standard errors. Figures are compared every second, so two would often be exceeded by chance. */
const significantErrors = 3;
/** Spread that is assumed at least, because a few observations may lie close together by chance. */
const minSpread = 0.1;
/** Share of these thresholds that holds for a target whose speed differed before, so that it does not come and go. */
const retentionShare = 0.5;
/** Standard error of the difference of two quantiles over that of a mean. */
const medianErrorFactor = 1.8;
/** Weight of observations at which the confidence is one half. */
const halfConfidenceWeight = 4;
/** Range of speeds. A target beyond it is more likely broken or wrongly measured. */
const range = {min: 0.2, max: 5} as const;

type Measured = {
	readonly id: string;
	/** Estimated time for a unit of work. */
	readonly value: number;
	readonly weight: number;
	/** Standard deviation of the logarithm of the observed times. */
	readonly spread: number;
};

type Speed = {
	/** 1: as fast as the median of the targets. */
	readonly speed: number;
	/** 0 without observations, towards 1 with many. */
	readonly confidence: number;
};

const speedOf = ({value, weight, spread}: Measured, medianLogarithm: number, hasDiffered: boolean): number => {
	const difference = medianLogarithm - Math.log(value);
	const error = medianErrorFactor * Math.max(minSpread, spread) / Math.sqrt(weight);
	const isConsiderable = Math.abs(difference) > Math.max(minDifference, significantErrors * error) * (hasDiffered ? retentionShare : 1);
	return weight >= (hasDiffered ? minRetainedWeight : minWeight) && isConsiderable ? Math.min(range.max, Math.max(range.min, Math.exp(difference))) : 1;
};

/**
Returns a speed for each target; 1 for all while fewer than two have been measured. `previous` are the speeds of the last comparison.

@example
```
relativeSpeeds([{id: 'i-1 17', value: 50, weight: 12, spread: 0.1}, {id: 'i-2 17', value: 80, weight: 9, spread: 0.1}]);
```
*/
export const relativeSpeeds = (targets: readonly Measured[], previous: ReadonlyMap<string, {readonly speed: number}> = new Map()): ReadonlyMap<string, Speed> => {
	const hasDiffered = (id: string): boolean => (previous.get(id)?.speed ?? 1) !== 1;
	const measured = targets.filter(({id, weight}) => weight >= (hasDiffered(id) ? minRetainedWeight : minWeight));
	const medianLogarithm = measured.length < 2 ? undefined : median(measured.map(({value}) => Math.log(value)));
	return new Map(targets.map(target => [target.id, {
		speed: medianLogarithm === undefined ? 1 : speedOf(target, medianLogarithm, hasDiffered(target.id)),
		confidence: target.weight / (target.weight + halfConfidenceWeight),
	}]));
};
