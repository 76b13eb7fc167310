/**
What an engine says of the prompt parts that it keeps.
*/

/**
Either what changed, or all; both come in the same form.
*/
export type KeptChanges = {
	/** Differs after a restart of the engine. */
	readonly epoch: string;
	/** From where to ask on. */
	readonly next: number;
	/** True when changes were missed, so that all has to be asked for. */
	readonly isGap: boolean;
	/** Parts and the tokens of each that are kept now, in order. */
	readonly changes: ReadonlyArray<{readonly part: string; readonly tokens: number}>;
};
