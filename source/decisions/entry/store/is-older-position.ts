/**
Orders positions in the history of the store.
*/
import type {StorePosition} from '../../../fleet/store-position.js';

/**
True when `position` lies before `other`. Positions without an era are compared by their
revisions alone.

@example
```
isOlderPosition({era: 3, revision: 900}, {era: 4, revision: 20}); // true
```
*/
export const isOlderPosition = (position: StorePosition, other: StorePosition): boolean => {
	const isComparable = position.era === other.era || position.era === 0 || other.era === 0;
	return isComparable ? position.revision < other.revision : position.era < other.era;
};
