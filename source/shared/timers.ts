/**
Timers that a test can run in virtual time.
*/

/**
Both functions return one that cancels the timer; cancelling twice does no harm.
*/
export type Timers = {
	/** Calls once, after so many milliseconds. */
	readonly after: (milliseconds: number, act: () => void) => () => void;
	/** Calls again and again, first after one period. */
	readonly every: (milliseconds: number, act: () => void) => () => void;
};
