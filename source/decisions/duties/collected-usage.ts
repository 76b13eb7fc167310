/**
Counts of all gateways, as the holder and the next candidates have them, and whose are missing.

It addresses gateways that are killed, restarted, frozen or cut off before the end of a window:
their counts are waited for only for a while, and what they had sent is kept.
*/
import type {PeerMessage} from '../../generated/peer-messages.js';
import {counterId} from './counter-id.js';
import {UsageCounts} from './usage-counts.js';

type UsageMessage = Extract<PeerMessage, {kind: 'usage'}>;

type Counter = {
	readonly firstWindow: number;
	readonly counts: UsageCounts;
	completeThrough: number;
	isFinal: boolean;
	heardAt: number;
};

/** A process that has not been heard for longer is taken to have ended; reports do not wait for it. */
const awaitedMilliseconds = 10_000;
const retentionMilliseconds = 60_000;

/**
One instance a process; the own counts are recorded like those of a peer.

@example
```
usage.record(message, true, clock());
usage.missing(351, clock()); // []
usage.totals(351); // Map {'joiners-cork' => 12}
```
*/
export class CollectedUsage {
	readonly #counters = new Map<string, Counter>();

	/**
	Takes a message of the process that counted, or one that another gateway has forwarded; returns the windows
	whose counts it has raised.
	*/
	record(message: UsageMessage, isDirect: boolean, now: number): readonly number[] {
		const known = this.#counters.get(message.counter);
		const counter: Counter = known ?? {
			firstWindow: message.firstWindow, counts: new UsageCounts(), completeThrough: message.completeThrough, isFinal: false, heardAt: now,
		};
		this.#counters.set(message.counter, counter);
		if (isDirect) {
			this.#endFormer(message);
		}

		const raised = message.windows.filter(({window, teams, counts}) => teams.map((team, index) => counter.counts.raise(window, team, counts[index] ?? 0)).includes(true)).map(({window}) => window);
		// A forwarded message shows that the process runs only if it says something new.
		counter.heardAt = isDirect || raised.length > 0 || message.completeThrough > counter.completeThrough ? now : counter.heardAt;
		counter.completeThrough = Math.max(counter.completeThrough, message.completeThrough);
		counter.isFinal ||= message.isFinal;
		return raised;
	}

	/** Identifiers of the counters whose counts of this window are waited for. */
	missing(window: number, now: number): readonly string[] {
		return [...this.#counters]
			.filter(([, {firstWindow, completeThrough, isFinal, heardAt}]) => firstWindow <= window && completeThrough < window && !isFinal && now - heardAt < awaitedMilliseconds)
			.map(([id]) => id);
	}

	/** True when counts of this process have arrived. */
	has(counter: string): boolean {
		return this.#counters.has(counter);
	}

	/** True when some process counted during this window. */
	covers(window: number): boolean {
		return [...this.#counters.values()].some(({firstWindow}) => firstWindow <= window);
	}

	totals(window: number): ReadonlyMap<string, number> {
		const totals = new Map<string, number>();
		for (const {counts} of this.#counters.values()) {
			for (const [team, count] of counts.get(window)) {
				totals.set(team, (totals.get(team) ?? 0) + count);
			}
		}

		return totals;
	}

	/** Returns what is known of these counters, to be forwarded. */
	messages(isWanted: (counter: string) => boolean): readonly UsageMessage[] {
		return [...this.#counters].filter(([id]) => isWanted(id)).map(([counter, {firstWindow, completeThrough, isFinal, counts}]) => ({
			kind: 'usage',
			counter,
			firstWindow,
			completeThrough,
			isFinal,
			windows: counts.windows.map(window => ({window, teams: [...counts.get(window).keys()], counts: [...counts.get(window).values()]})),
		}));
	}

	/** Drops windows and processes that no report needs any more. */
	forget(currentWindow: number, now: number): void {
		for (const [id, {counts, heardAt}] of this.#counters) {
			counts.forget(currentWindow);
			if (now - heardAt > retentionMilliseconds) {
				this.#counters.delete(id);
			}
		}
	}

	/** A gateway runs one process at a time, so a former one has ended when a new one is heard. */
	#endFormer({counter}: UsageMessage): void {
		const gateway = counterId.gatewayOf(counter);
		for (const [id, former] of this.#counters) {
			former.isFinal ||= id !== counter && counterId.gatewayOf(id) === gateway;
		}
	}
}
