/**
All targets that the platform's store listed at one time.
*/
import type {TargetRecord} from './target-record.js';

/**
Lists are ordered by `revision`, whoever read them.

What the list leaves out was not in the store at that revision; an entry in it
may be newer, as a long list is read in several pages.
*/
export type TargetList = {
	readonly revision: number;
	readonly targets: readonly TargetRecord[];
};
