/**
Decides which reports are to be decided, recalled from the store or sent, and when.

It addresses a holder that is replaced between deciding, sending and hearing the answer, a duty
interface that is slow or down, and a store that comes back from a copy without the last reports:
a content that is known is never replaced by another one, and no report is sent before the store has it.
*/
type Report = {
	/** The decided content, also one that only peers have reported. */
	content?: string;
	/** True when the store has this content, as seen under the current lease. */
	isStored: boolean;
	isAccepted: boolean;
	isBusy: boolean;
	/** True once the store has been asked in vain for the content of an overdue report. */
	isRecalled: boolean;
	attempts: number;
	nextAt: number;
};

type Step =
	| {readonly kind: 'decide'; readonly window: number; readonly content: string | undefined; readonly isComplete: boolean}
	| {readonly kind: 'recall'; readonly window: number}
	| {readonly kind: 'send'; readonly window: number; readonly content: string};

type View = {
	/** True time in milliseconds. */
	readonly time: number;
	readonly isComplete: (window: number) => boolean;
	readonly covers: (window: number) => boolean;
};

type Times = {readonly windowMilliseconds: number; readonly dueMilliseconds: number};

/** Time after the end of a window within which the messages of all gateways arrive. */
const settleMilliseconds = 400;
/** Share of the time until a report is due after which it is decided without the counts that are still missing. */
const waitShare = 0.65;
/** A report that is decided is repeated until this long after it was due. */
const repeatMilliseconds = 10_000;
const minPauseMilliseconds = 300;
const maxPauseMilliseconds = 2000;

/**
One instance a process. At a gateway that holds no lease it only remembers what others report.

@example
```
for (const step of plan.steps(view, clock())) {
	perform(step);
}
```
*/
export class ReportPlan {
	readonly #times: Times;
	readonly #reports = new Map<number, Report>();

	constructor(times: Times) {
		this.#times = times;
	}

	/** Returns what is to be done now, oldest window first. Each step is returned once, until its result is recorded. */
	steps(view: View, now: number): readonly Step[] {
		const {windowMilliseconds, dueMilliseconds} = this.#times;
		const first = Math.floor((view.time - dueMilliseconds - repeatMilliseconds) / windowMilliseconds);
		const last = Math.floor((view.time - settleMilliseconds) / windowMilliseconds) - 1;
		const windows = Array.from({length: Math.max(0, last - first + 1)}, (_, index) => first + index);
		const steps = windows.flatMap(window => this.#step(window, view, now) ?? []);
		for (const {window} of steps) {
			this.#report(window).isBusy = true;
		}

		return steps;
	}

	/** Takes a report that another gateway has decided or knows of. */
	remember(window: number, content: string, isAccepted: boolean): void {
		const report = this.#report(window);
		report.content ??= content;
		report.isAccepted ||= isAccepted;
	}

	/** Records that the store has this content. */
	recordStored(window: number, content: string): void {
		Object.assign(this.#report(window), {
			content, isStored: true, isBusy: false, attempts: 0, nextAt: 0,
		});
	}

	/** Records that the store has no report of an overdue window. */
	recordAbsent(window: number): void {
		Object.assign(this.#report(window), {isRecalled: true, isBusy: false});
	}

	recordAccepted(window: number): void {
		Object.assign(this.#report(window), {isAccepted: true, isBusy: false});
	}

	/** Records that a step has failed and is to be repeated after a while. */
	recordFailure(window: number, now: number): void {
		const report = this.#report(window);
		report.isBusy = false;
		report.nextAt = now + Math.min(maxPauseMilliseconds, minPauseMilliseconds * (2 ** report.attempts));
		report.attempts++;
	}

	/** Begins under a new lease: what the store has is to be seen again, as it may have come back from a copy. */
	begin(): void {
		for (const report of this.#reports.values()) {
			Object.assign(report, {
				isStored: false, isBusy: false, isRecalled: false, attempts: 0, nextAt: 0,
			});
		}
	}

	isDecided(window: number): boolean {
		return this.#reports.get(window)?.content !== undefined;
	}

	/** Reports that are known, for a gateway that may need them. */
	known(): ReadonlyArray<{readonly window: number; readonly text: string; readonly isAccepted: boolean}> {
		return [...this.#reports].flatMap(([window, {content, isAccepted}]) => content === undefined ? [] : [{window, text: content, isAccepted}]);
	}

	/** Drops reports that are no longer repeated; returns the windows that were given up, though there were counts. */
	forget(time: number): readonly number[] {
		const {windowMilliseconds, dueMilliseconds} = this.#times;
		const old = [...this.#reports].filter(([window]) => ((window + 2) * windowMilliseconds) + dueMilliseconds + repeatMilliseconds < time);
		for (const [window] of old) {
			this.#reports.delete(window);
		}

		return old.filter(([, {isAccepted, content, isStored}]) => !isAccepted && content !== undefined && isStored).map(([window]) => window);
	}

	#step(window: number, view: View, now: number): Step | undefined {
		const end = (window + 1) * this.#times.windowMilliseconds;
		const dueAt = end + this.#times.dueMilliseconds;
		const {content, isStored, isAccepted, isBusy, isRecalled, nextAt} = this.#report(window);
		if (isAccepted || isBusy || now < nextAt || view.time >= dueAt + repeatMilliseconds) {
			return undefined;
		}

		if (content !== undefined) {
			return isStored
				? {kind: 'send', window, content}
				: {
					kind: 'decide', window, content, isComplete: true,
				};
		}

		if (view.time >= dueAt) {
			return isRecalled ? undefined : {kind: 'recall', window};
		}

		const isComplete = view.isComplete(window);
		const isDecidable = isComplete || view.time >= end + (this.#times.dueMilliseconds * waitShare);
		return isDecidable && view.covers(window)
			? {
				kind: 'decide', window, content: undefined, isComplete,
			}
			: undefined;
	}

	#report(window: number): Report {
		const report = this.#reports.get(window) ?? {
			isStored: false, isAccepted: false, isBusy: false, isRecalled: false, attempts: 0, nextAt: 0,
		};
		this.#reports.set(window, report);
		return report;
	}
}
