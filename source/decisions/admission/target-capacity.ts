/**
What a target can carry, as its sidecar knows it.
*/

/**
Capacity of one target. A plain target has no pieces and counts calls only.
*/
export type TargetCapacity =
	| {
		readonly kind: 'engine';
		/** Pieces of engine memory; one piece holds `tokensPerPiece` tokens. */
		readonly totalPieces: number;
		readonly tokensPerPiece: number;
		readonly mostRunning: number;
		readonly prefillTokensPerSecond: number;
		/** Output tokens a second of the whole batch. */
		readonly decodeTokensPerSecond: number;
		/** Time between two tokens of one stream. */
		readonly tokenMilliseconds: number;
	}
	| {readonly kind: 'plain'; readonly mostRunning: number; readonly callMilliseconds: number};
