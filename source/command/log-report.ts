/**
Result of `cowsliprudder report`.
*/

type Table = {readonly title: string; readonly columns: readonly string[]; readonly rows: ReadonlyArray<readonly string[]>};

/**
Tables to print, and time windows to plot. `cowsliprudder report --json` prints it under
these field names. Times are in milliseconds; `start` is the Unix time of the first
window.
*/
export type LogReport = {
	readonly tables: readonly Table[];
	readonly start: number;
	readonly windowMilliseconds: number;
	readonly windows: ReadonlyArray<{
		/** Number of logged requests that ended in this window, by outcome. */
		readonly endings: Readonly<Record<string, number>>;
		/** Median time to the first event; undefined without any. */
		readonly middle: number | undefined;
		/** 95th percentile of the time to the first event; undefined without any. */
		readonly slow: number | undefined;
	}>;
};
