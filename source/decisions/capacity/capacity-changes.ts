/**
Selects the changes of learned figures that are worth a log line.

Load: figures of tens of targets change a little with each outcome. Only considerable changes
explain why work goes elsewhere, and a target that changes all the time must not fill the log.
*/

/** Factor by which a speed or limit has changed considerably. */
const considerableFactor = 1.25;
/** Time between two lines on the same target. */
const minIntervalMilliseconds = 10_000;

type Figures = {
	readonly incarnation: string;
	readonly speed: number;
	/** Calls at once that the target takes well; undefined while unknown. */
	readonly limit: number | undefined;
};

type Change = {readonly before: Omit<Figures, 'incarnation'>; readonly after: Figures};

const isConsiderable = (before: number | undefined, after: number | undefined): boolean => before === undefined || after === undefined
	? before !== after
	: Math.max(before / after, after / before) >= considerableFactor;

/**
Keeps what was last reported of each target; one that was never reported has speed 1 and no limit.

@example
```
changes.take([{incarnation: 'i-1 17', speed: 0.6, limit: undefined}], now); // one change
```
*/
export class CapacityChanges {
	readonly #reported = new Map<string, {readonly at: number; readonly figures: Omit<Figures, 'incarnation'>}>();

	/** Returns the considerable changes since the last ones that were returned, and forgets targets that are not given. */
	take(targets: readonly Figures[], now: number): readonly Change[] {
		const given = new Set(targets.map(({incarnation}) => incarnation));
		for (const incarnation of this.#reported.keys()) {
			if (!given.has(incarnation)) {
				this.#reported.delete(incarnation);
			}
		}

		return targets.flatMap(target => this.#takeOne(target, now));
	}

	#takeOne(after: Figures, now: number): readonly Change[] {
		const {incarnation, speed, limit} = after;
		const {at, figures: before} = this.#reported.get(incarnation) ?? {at: Number.NEGATIVE_INFINITY, figures: {speed: 1, limit: undefined}};
		const isChanged = isConsiderable(before.speed, speed) || isConsiderable(before.limit, limit);
		if (!isChanged || now - at < minIntervalMilliseconds) {
			return [];
		}

		this.#reported.set(incarnation, {at: now, figures: {speed, limit}});
		return [{before, after}];
	}
}
