/**
All targets that the platform's store listed at one revision.
*/
import type {StorePosition} from './store-position.js';
import type {TargetRecord} from './target-record.js';

/**
Lists are ordered by their position in the store's history, whichever gateway read them.

A target that is missing from the list was not in the store at that revision. A listed
entry may be newer than the revision, because a long list is read in several pages.
*/
export type TargetList = StorePosition & {
	readonly targets: readonly TargetRecord[];
};
