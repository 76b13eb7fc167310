/**
Estimates one positive quantity from recent observations that are noisy and may be wrong.

Load: one request in a hundred takes ten times as long, a target is several times slower for
parts of a second, and its normal speed changes within minutes. A mean would follow each slow
request. So the estimate is a quantile of the recent observations, and older ones count less.
Without new observations the estimate keeps its value, and only its weight falls.
*/
import * as option from 'fp-ts/lib/Option.js';

/** Waiting that nobody reports only ever adds time, so the estimate lies a little below the median. */
const estimateQuantile = 0.4;
/** Factor from the median distance of two successive observations to the standard deviation, for a normal distribution. */
const deviationFactor = 1.05;
/** Weight below which an observation no longer counts. */
const minWeight = 0.01;

type Options = {
	/** Observations that are kept. */
	readonly size: number;
	/** Time in which the weight of an observation halves. */
	readonly halfLifeMilliseconds: number;
};

type Observation = {readonly value: number; readonly at: number};

type Weighted = {readonly value: number; readonly weight: number};

type Estimate = {
	readonly value: number;
	/** Sum of the weights of the observations; a new observation has weight 1. */
	readonly weight: number;
	/** Standard deviation of the logarithm of the observations, from the distances of successive ones, so that a change of the quantity does not count as spread. */
	readonly spread: number;
};

const sum = (weighted: readonly Weighted[]): number => weighted.reduce((total, {weight}) => total + weight, 0);

const quantile = (weighted: readonly Weighted[], share: number): number => {
	const sorted = weighted.toSorted((first, second) => first.value - second.value);
	const end = sum(sorted) * share;
	let passed = 0;
	const found = sorted.find(({weight}) => {
		passed += weight;
		return passed >= end;
	});
	return (found ?? sorted.at(-1)!).value;
};

/**
Invariant: an observation that is not a positive finite number changes nothing.

@example
```
const times = new RecentValues({size: 32, halfLifeMilliseconds: 15_000});
times.record(41, now);
times.estimate(now); // some {value: 41, weight: 1, spread: 0}
```
*/
export class RecentValues {
	readonly #options: Options;
	readonly #observations: Observation[] = [];
	#next = 0;

	constructor(options: Options) {
		this.#options = options;
	}

	record(value: number, now: number): void {
		if (!Number.isFinite(value) || value <= 0) {
			return;
		}

		this.#observations[this.#next] = {value, at: now};
		this.#next = (this.#next + 1) % this.#options.size;
	}

	/** Returns none while no observation counts. */
	estimate(now: number): option.Option<Estimate> {
		const weighted = this.#weighted(now);
		if (weighted.length === 0) {
			return option.none;
		}

		const value = quantile(weighted, estimateQuantile);
		const distances = weighted.slice(1).map((observation, index) => ({value: Math.abs(Math.log(observation.value / weighted[index]!.value)), weight: observation.weight}));
		return option.some({value, weight: sum(weighted), spread: distances.length === 0 ? 0 : deviationFactor * quantile(distances, 0.5)});
	}

	/** Observations that count, the oldest first. */
	#weighted(now: number): readonly Weighted[] {
		return [...this.#observations.slice(this.#next), ...this.#observations.slice(0, this.#next)]
			.map(({value, at}) => ({value, weight: 0.5 ** (Math.max(0, now - at) / this.#options.halfLifeMilliseconds)}))
			.filter(({weight}) => weight >= minWeight);
	}
}
