/**
One attempt that the load tracker counts.
*/

/**
Entries are compared by identity: the load tracker removes only an object that it returned itself.
*/
export type LoadEntry = {
	readonly target: string;
	/** Prefill time that its prompt still needs; 0 once the prefill has ended. */
	readMilliseconds: number;
};
