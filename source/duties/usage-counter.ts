/**
Counts the requests of this gateway that began to run at a target, by team and window in true time.
*/
import {OwnUsage} from '../decisions/duties/own-usage.js';
import type {SharedTime} from '../decisions/duties/shared-time.js';
import type {EntryMetrics} from '../entry/entry-metrics.js';

type CounterOptions = {
	readonly windowMilliseconds: number;
	readonly time: SharedTime;
	readonly metrics: Pick<EntryMetrics, 'count'>;
	readonly now: () => number;
};

type Begun = {readonly team: string; readonly at: number};

/** Time after the end of a window within which what began in it is recorded. */
const settleMilliseconds = 200;
/** Requests that are kept until true time is known, a few seconds after the start. */
const maxEarly = 10_000;

/**
One instance a process. Times are on the gateway's monotonic clock.

@example
```
counter.recordBegun('joiners-cork', clock());
```
*/
export class UsageCounter {
	#usage: OwnUsage | undefined;
	#early: Begun[] = [];
	readonly #startedAt: number;
	/** When each call was sent whose answer will show whether it ran. */
	readonly #openCalls = new Set<{readonly at: number}>();
	readonly #options: CounterOptions;

	constructor(options: CounterOptions) {
		this.#options = options;
		this.#startedAt = options.now();
	}

	/** What has been counted; undefined until true time is known. */
	get usage(): OwnUsage | undefined {
		return this.#usage;
	}

	/** Counts a request of a team that began at this time; to be called once a request. */
	recordBegun(team: string, at: number): void {
		const {time, metrics} = this.#options;
		if (this.#usage !== undefined && time.offset !== undefined) {
			metrics.count('usage.begun');
			this.#usage.record(team, this.#windowAt(at, time.offset));
		} else if (this.#early.length < maxEarly) {
			this.#early.push({team, at});
		} else {
			metrics.count('usage.uncounted');
		}
	}

	/** Holds the window of a call that was sent at this time open until the returned function is called. */
	openCall(at: number): () => void {
		const call = {at};
		this.#openCalls.add(call);
		return () => {
			this.#openCalls.delete(call);
		};
	}

	/** Takes windows as complete once they have ended; to be called several times a second. */
	advance(): void {
		const {time: {offset}, now, windowMilliseconds} = this.#options;
		if (offset === undefined) {
			return;
		}

		if (this.#usage === undefined) {
			this.#usage = new OwnUsage(this.#windowAt(this.#startedAt, offset));
			const early = this.#early;
			this.#early = [];
			for (const {team, at} of early) {
				this.recordBegun(team, at);
			}
		}

		const endedWindow = this.#windowAt(now() - settleMilliseconds - windowMilliseconds, offset);
		const openWindows = [...this.#openCalls].map(({at}) => this.#windowAt(at, offset));
		this.#usage.advance({endedWindow, oldestOpenWindow: openWindows.length === 0 ? undefined : Math.min(...openWindows)});
	}

	#windowAt(at: number, offset: number): number {
		return Math.floor((at + offset) / this.#options.windowMilliseconds);
	}
}
