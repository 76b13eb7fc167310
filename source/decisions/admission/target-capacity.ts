/**
Capacity of a target, as its sidecar knows it.
*/

/**
Capacity of one target. A plain target has no engine memory; only its concurrent calls are limited.
*/
export type TargetCapacity =
	| {
		readonly kind: 'engine';
		/** Number of pieces (KV-cache blocks) of engine memory; one piece holds `tokensPerPiece` tokens. */
		readonly totalPieces: number;
		readonly tokensPerPiece: number;
		readonly mostRunning: number;
		readonly prefillTokensPerSecond: number;
		/** Output tokens per second of the whole batch. */
		readonly decodeTokensPerSecond: number;
		/** Time between two tokens of one stream in a full batch. */
		readonly tokenMilliseconds: number;
	}
	| {readonly kind: 'plain'; readonly mostRunning: number; readonly callMilliseconds: number};
