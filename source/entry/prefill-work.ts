/**
The prefill that was placed on an engine, as far as its time tells how fast the engine is.
*/

/**
Times are those of an otherwise idle prefill engine of speed 1, in milliseconds.
*/
export type PrefillWork = {
	readonly uncachedTokens: number;
	readonly cachedTokens: number;
	readonly estimatedMilliseconds: number;
	/** Backlog of the engine when the prompt was placed. */
	readonly backlogMilliseconds: number;
};
