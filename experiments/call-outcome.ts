/**
What one caller saw of one request.
*/

/**
How a call ended, as its caller was told, and whether the answer was right.
*/
export type CallOutcome = {
	readonly label: string;
	readonly ending: 'answered' | 'not run' | 'ran' | 'unknown' | 'connection lost';
	readonly code: number;
	/** False when an answered call's answer was not whole or not its own. */
	readonly isRight: boolean;
	readonly firstTokenMilliseconds: number;
	readonly tokenGapsMilliseconds: readonly number[];
	readonly totalMilliseconds: number;
	readonly requestId: string;
	/** Path of a plain call, unique to it; empty for a model request. */
	readonly path: string;
	/** On the caller's clock, in milliseconds. */
	readonly startedAt: number;
	readonly retryAfterSeconds: number;
};
