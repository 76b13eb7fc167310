/**
What an engine reports about the prompt parts in its prefix cache.
*/

/**
Either the changes since an earlier report or the whole content; both have the same form.
*/
export type CacheChanges = {
	/** Identifies one run of the engine; it differs after a restart. */
	readonly epoch: string;
	/** Position from which to request the next changes. */
	readonly next: number;
	/** True when changes were missed, so that the whole content has to be requested. */
	readonly isGap: boolean;
	/** Prompt parts in order, each with the number of its tokens that are cached now. */
	readonly changes: ReadonlyArray<{readonly part: string; readonly tokens: number}>;
};
