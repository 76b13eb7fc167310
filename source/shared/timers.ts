/**
Timer interface. Tests implement it with virtual time.
*/

/**
Each method returns a function that cancels the timer. Cancelling twice has no effect.
*/
export type Timers = {
	/** Calls `callback` once, after `milliseconds`. */
	readonly after: (milliseconds: number, callback: () => void) => () => void;
	/** Calls `callback` repeatedly, for the first time after one period of `milliseconds`. */
	readonly every: (milliseconds: number, callback: () => void) => () => void;
};
