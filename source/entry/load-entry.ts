/**
One piece of work in the load book.
*/

/**
Identity matters: the book removes the entry that it gave out.
*/
export type LoadEntry = {
	readonly target: string;
	/** Time that reading its prompt will still take. */
	readMilliseconds: number;
};
