/**
Makes the fencing token of a lease from the position in the store's history at which it was acquired.
*/
import * as option from 'fp-ts/lib/Option.js';
import type {StorePosition} from '../../fleet/store-position.js';

/** Leaves 13 bits of a safe integer for the era; at 1,200 writes per second an era lasts 29 years. */
const revisionsPerEra = 2 ** 40;

/**
Returns a safe integer that orders tokens by era first and then by revision, because revisions are
given out again after the store has come back from an older copy. None if the position does not fit.

@example
```
fencingToken({era: 2, revision: 17}); // option.some(2_199_023_255_569)
```
*/
export const fencingToken = ({era, revision}: StorePosition): option.Option<number> => {
	const token = (era * revisionsPerEra) + revision;
	return Number.isSafeInteger(token) && era >= 0 && revision > 0 && revision < revisionsPerEra ? option.some(token) : option.none;
};
