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
	readonly retryAfterSeconds: number;
};
