/**
Learns, for one target of a plain service, how long a call takes there and how many calls at
once it takes before they slow down.

Load: a target has six slots, but from the fourth call on all of its calls take longer, so the
slots say nothing of what it takes well. The times of calls are compared by the number of calls
that were in progress at the target. If they take considerably longer beyond a number, the limit
is the calls in progress that would give the throughput reached there at the time of a call below
it (Little's law). While fewer calls are in progress than that, the observations beyond the
limit grow old and the limit is unknown again, so that it is tried anew; when nobody sends
calls, nothing is observed and nothing changes but the weights.
*/
import * as option from 'fp-ts/lib/Option.js';
import {RecentValues} from './recent-values.js';

const halfLifeMilliseconds = 12_000;
/** Calls that are kept, most of them recent. */
const maxCalls = 96;
/** Age beyond which a call no longer counts. */
const maxAgeMilliseconds = 45_000;
/** Calls on either side of a limit without which it is chance. */
const minCallsBeside = 8;
/** How many times as long calls take beyond the limit as below it, at least. */
const slowdownBeyondLimit = 1.4;
/** A limit counts if the difference is beyond this number of standard errors. Many numbers are tried at many times, so chance exceeds three often. */
const significantErrors = 4;
/** Standard error of a quantile over that of a mean. */
const quantileErrorFactor = 1.3;
/** Spread that is assumed at least, because a few calls may take alike by chance. */
const minSpread = 0.1;

type Call = {
	readonly milliseconds: number;
	readonly running: number;
	/** True for a call that the target refused because it was full. */
	readonly isRefused: boolean;
	readonly at: number;
};

type CallModel = {
	/** Time of a call while the target has few others. */
	readonly milliseconds: number;
	readonly weight: number;
	readonly spread: number;
	/** Calls in progress up to which none takes longer; undefined while none was seen to. */
	readonly limit: number | undefined;
};

type Estimate = Extract<ReturnType<RecentValues['estimate']>, {readonly _tag: 'Some'}>['value'];

type Split = {
	readonly limit: number;
	readonly ratio: number;
	/** Number of standard errors by which the times differ. */
	readonly errors: number;
	readonly below: Estimate;
	readonly beyond: readonly Call[];
};

const countErrors = (ratio: number, below: Estimate, beyond: Estimate): number => {
	const spread = Math.max(minSpread, (below.spread + beyond.spread) / 2);
	return Math.log(ratio) / (quantileErrorFactor * spread * Math.sqrt((1 / below.weight) + (1 / beyond.weight)));
};

const estimateOf = (calls: readonly Call[], now: number): option.Option<Estimate> => {
	const values = new RecentValues({size: maxCalls, halfLifeMilliseconds});
	for (const {milliseconds, at} of calls) {
		values.record(milliseconds, at);
	}

	return values.estimate(now);
};

/** Compares the calls beside fewer than `limit` others with the rest. */
const splitAt = (calls: readonly Call[], limit: number, now: number): readonly Split[] => {
	const below = calls.filter(({running}) => running < limit);
	const beyond = calls.filter(({running}) => running >= limit);
	if (below.length < minCallsBeside || beyond.length < minCallsBeside) {
		return [];
	}

	const [timeBelow, timeBeyond] = [estimateOf(below, now), estimateOf(beyond, now)];
	if (option.isNone(timeBelow) || option.isNone(timeBeyond)) {
		return [];
	}

	const ratio = timeBeyond.value.value / timeBelow.value.value;
	return [{
		limit, ratio, errors: countErrors(ratio, timeBelow.value, timeBeyond.value), below: timeBelow.value, beyond,
	}];
};

/** Calls in progress for which the throughput beyond the split suffices, at the time of a call below it; at most where the split is. */
const limitOf = ({limit, below, beyond}: Split, now: number): number => {
	const values = new RecentValues({size: maxCalls, halfLifeMilliseconds});
	for (const {milliseconds, running, isRefused, at} of beyond) {
		values.record(isRefused ? running : (running + 1) * below.value / milliseconds, at);
	}

	const estimate = values.estimate(now);
	return option.isNone(estimate) ? limit : Math.min(limit, Math.max(1, Math.round(estimate.value.value)));
};

/**
Times are in milliseconds, on the gateway's monotonic clock.

@example
```
calls.record({milliseconds: 41, running: 2}, now);
calls.model(now); // some {milliseconds: 41, weight: 1, spread: 0, limit: undefined}
```
*/
export class CallTimes {
	readonly #calls: Call[] = [];
	#next = 0;

	/** Records a call that was answered; `running` are the calls that were in progress at the target beside it. */
	record({milliseconds, running, isRefused = false}: Omit<Call, 'at' | 'isRefused'> & {readonly isRefused?: boolean}, now: number): void {
		if (milliseconds > 0 && Number.isFinite(milliseconds) && running >= 0 && Number.isFinite(running)) {
			this.#calls[this.#next] = {
				milliseconds, running, isRefused, at: now,
			};
			this.#next = (this.#next + 1) % maxCalls;
		}
	}

	/** Returns none while no call counts. */
	model(now: number): option.Option<CallModel> {
		const calls = this.#calls.filter(({at}) => now - at < maxAgeMilliseconds);
		const limits = [...new Set(calls.map(({running}) => Math.ceil(running)))].filter(limit => limit > 0);
		const splits = limits.flatMap(limit => splitAt(calls, limit, now));
		const clearest = splits.length === 0 ? undefined : splits.reduce((best, split) => split.errors > best.errors ? split : best);
		if (clearest !== undefined && clearest.ratio >= slowdownBeyondLimit && clearest.errors >= significantErrors) {
			const {value, weight, spread} = clearest.below;
			return option.some({
				milliseconds: value, weight, spread, limit: limitOf(clearest, now),
			});
		}

		const all = estimateOf(calls, now);
		return option.map(({value, weight, spread}: Estimate): CallModel => ({
			milliseconds: value, weight, spread, limit: undefined,
		}))(all);
	}
}
