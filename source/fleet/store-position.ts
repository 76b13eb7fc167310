/**
A position in the history of the platform's store.
*/

/**
Positions of one era are ordered by `revision`, an integer that rises with each change.

The store may come back from an older copy. It then numbers its revisions from an earlier
one again and gives them out a second time, so revisions of two eras cannot be compared.
*/
export type StorePosition = {
	/** Rises by one each time the store comes back from a copy; 0 when the store does not number its eras. */
	readonly era: number;
	readonly revision: number;
};
