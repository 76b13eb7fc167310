/**
Learns the rates of a service's engines from the observations of all of them.

Load: the engines of one deployment slow down with each request that they run, those of another
hardly do. With constants of the former, short prompts of the latter would avoid engines that
are as fast as idle ones. Each rate keeps its starting value unless the observations clearly say
otherwise, so that chance does not change the placement on engines of the usual kind.

The time of an event is known but not how many tokens it holds, so of a decode step only the
share that each request adds is learned.
*/
import * as option from 'fp-ts/lib/Option.js';
import type {EngineRates} from './engine-rates.js';
import {RecentPoints} from './recent-points.js';
import {startingRates} from './starting-rates.js';

const lifetimeMilliseconds = 120_000;
const size = 48;
const minPoints = 24;
/** Smallest spreads for which there is a line: of mean prompt lengths in million tokens, of estimated prefill times, and of running requests. */
const minSpread = {length: 0.0015, prefillMilliseconds: 15, running: 4} as const;
/** The prompt by whose prefill time rates are compared. */
const comparedTokens = 8000;
/** Smallest change of a prefill time that counts, as a factor. */
const minChange = 1.15;
/** Smallest change of what each request adds to a decode step, as a factor. It is small beside the step, so its error is large. */
const minStepChange = 1.6;
const slowdownRange = {min: 1, max: 5} as const;
/** Largest share of a decode step that one request adds. */
const maxStepShare = 0.2;
/** Range of learned prefill rates around the starting values, as a factor. */
const maxRateFactor = 5;
/** Time for which fitted rates are kept. */
const fitMilliseconds = 5000;

const startingStepShare = startingRates.decodeStep.millisecondsPerRequest / startingRates.decodeStep.milliseconds;

type Line = Extract<ReturnType<RecentPoints['fit']>, {readonly _tag: 'Some'}>['value'];

type PrefillRates = Pick<EngineRates, 'tokensPerMillisecond' | 'millisecondsPerMillionPairs'>;

const isChanged = (value: number, start: number, factor: number): boolean => value > start * factor || value < start / factor;

const comparedMilliseconds = ({tokensPerMillisecond, millisecondsPerMillionPairs}: PrefillRates): number =>
	(comparedTokens / tokensPerMillisecond) + (comparedTokens * comparedTokens / 2_000_000 * millisecondsPerMillionPairs);

const prefillRatesOf = ({slope, intercept}: Line): PrefillRates => {
	const learned = {tokensPerMillisecond: 1 / intercept, millisecondsPerMillionPairs: Math.max(0, slope)};
	const isPlausible = intercept > 0 && !isChanged(comparedMilliseconds(learned), comparedMilliseconds(startingRates), maxRateFactor);
	return isPlausible && isChanged(comparedMilliseconds(learned), comparedMilliseconds(startingRates), minChange) ? learned : startingRates;
};

const inPlaceSlowdownOf = ({slope}: Line): number => {
	const slowdown = Math.min(slowdownRange.max, Math.max(slowdownRange.min, slope));
	return isChanged(slowdown, startingRates.inPlaceSlowdown, minChange) ? slowdown : startingRates.inPlaceSlowdown;
};

const decodeStepOf = ({slope, intercept}: Line): EngineRates['decodeStep'] => {
	const share = intercept > 0 ? Math.min(maxStepShare, Math.max(0, slope / intercept)) : startingStepShare;
	return isChanged(share, startingStepShare, minStepChange)
		? {milliseconds: startingRates.decodeStep.milliseconds, millisecondsPerRequest: startingRates.decodeStep.milliseconds * share}
		: startingRates.decodeStep;
};

/**
Observations are given in the time of an engine of speed 1.

@example
```
rates.recordPrefill({uncachedTokens: 17_000, cachedTokens: 0, milliseconds: 350}, now);
rates.current(now).tokensPerMillisecond;
```
*/
export class ServiceRates {
	readonly #prefills = new RecentPoints({
		size, lifetimeMilliseconds, minPoints, minSpread: minSpread.length,
	});

	readonly #inPlace = new RecentPoints({
		size, lifetimeMilliseconds, minPoints, minSpread: minSpread.prefillMilliseconds,
	});

	readonly #decodeSteps = new RecentPoints({
		size, lifetimeMilliseconds, minPoints, minSpread: minSpread.running,
	});

	#fitted: {readonly at: number; readonly rates: EngineRates} | undefined;

	/** Records a prefill on a prefill engine that had nothing else to prefill. */
	recordPrefill({uncachedTokens, cachedTokens, milliseconds}: {readonly uncachedTokens: number; readonly cachedTokens: number; readonly milliseconds: number}, now: number): void {
		this.#prefills.record({x: (cachedTokens + (uncachedTokens / 2)) / 1_000_000, y: milliseconds / uncachedTokens}, now);
	}

	/** Records the time to the first event of a prompt that was prefilled in place; the estimate is that of an idle prefill engine. */
	recordInPlace({estimatedMilliseconds, milliseconds}: {readonly estimatedMilliseconds: number; readonly milliseconds: number}, now: number): void {
		this.#inPlace.record({x: estimatedMilliseconds, y: milliseconds}, now);
	}

	/** Records the time between two events of a stream beside other running requests. */
	recordDecode({gapMilliseconds, running}: {readonly gapMilliseconds: number; readonly running: number}, now: number): void {
		this.#decodeSteps.record({x: running, y: gapMilliseconds}, now);
	}

	current(now: number): EngineRates {
		if (this.#fitted === undefined || now - this.#fitted.at >= fitMilliseconds) {
			this.#fitted = {at: now, rates: this.#fit(now)};
		}

		return this.#fitted.rates;
	}

	#fit(now: number): EngineRates {
		const [prefills, inPlace, decodeSteps] = [this.#prefills.fit(now), this.#inPlace.fit(now), this.#decodeSteps.fit(now)];
		const {tokensPerMillisecond, millisecondsPerMillionPairs} = option.isSome(prefills) ? prefillRatesOf(prefills.value) : startingRates;
		return {
			tokensPerMillisecond,
			millisecondsPerMillionPairs,
			inPlaceSlowdown: option.isSome(inPlace) ? inPlaceSlowdownOf(inPlace.value) : startingRates.inPlaceSlowdown,
			decodeStep: option.isSome(decodeSteps) ? decodeStepOf(decodeSteps.value) : startingRates.decodeStep,
		};
	}
}
