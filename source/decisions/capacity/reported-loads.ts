/**
Keeps the load that targets report with their answers, while it is fresh.

Load: a target is several times slower for parts of a second, and its answers say so in a fourth
figure. That figure changes many times a second, so it counts for a short time. A target may
always report a wrong figure: it is compared with what the same target usually reports, so that
a constant one has no effect. A report without the figure is not used, as the outcomes and the
gateways' own counts tell as much.
*/
import * as option from 'fp-ts/lib/Option.js';
import {RecentValues} from './recent-values.js';

/** How long a report counts. */
const lifetimeMilliseconds = 250;
const usual = {size: 32, halfLifeMilliseconds: 20_000} as const;
/** Range of the effect of one report. */
const slowdownRange = {min: 0.5, max: 4} as const;

type Report = {readonly running: number; readonly waiting: number; readonly slots: number; readonly slowdown: number | undefined};

type Current = {
	/** Requests that ran or waited at the target, at most twice its slots; 0 while unknown. */
	readonly requests: number;
	/** How many times as long work takes as it usually does at this target. */
	readonly slowdown: number;
};

const unreported: Current = {requests: 0, slowdown: 1};

/**
One instance a target incarnation.

@example
```
loads.record({running: 3, waiting: 0, slots: 8, slowdown: 2.5}, now);
loads.current(now);
```
*/
export class ReportedLoads {
	readonly #usual = new RecentValues(usual);
	#last: {readonly at: number; readonly state: Current} | undefined;

	record({running, waiting, slots, slowdown}: Report, now: number): void {
		if (slowdown === undefined) {
			return;
		}

		this.#usual.record(slowdown, now);
		const usualSlowdown = this.#usual.estimate(now);
		const relative = option.isSome(usualSlowdown) ? slowdown / usualSlowdown.value.value : 1;
		this.#last = {at: now, state: {requests: Math.min(running + waiting, slots * 2), slowdown: Math.min(slowdownRange.max, Math.max(slowdownRange.min, relative))}};
	}

	/** Returns the last report, or the usual state when it is too old; none when there was none with the fourth figure. */
	current(now: number): option.Option<Current> {
		return this.#last === undefined ? option.none : option.some(now - this.#last.at < lifetimeMilliseconds ? this.#last.state : unreported);
	}
}
