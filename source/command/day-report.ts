/**
What `cowsliprudder report` tells of a stretch of time.
*/

type Table = {readonly title: string; readonly columns: readonly string[]; readonly rows: ReadonlyArray<readonly string[]>};

/**
Tables to print, and what happened in each window, to plot. Times in milliseconds;
`start` is the Unix time of the first window.
*/
export type DayReport = {
	readonly tables: readonly Table[];
	readonly start: number;
	readonly windowMilliseconds: number;
	readonly windows: ReadonlyArray<{
		/** Logged requests that ended in this window, by how. */
		readonly endings: Readonly<Record<string, number>>;
		/** First events: the slowest of 50 and of 95 in 100; undefined without any. */
		readonly middle: number | undefined;
		readonly slow: number | undefined;
	}>;
};
