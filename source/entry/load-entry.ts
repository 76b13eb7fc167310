/**
One attempt that the load tracker counts.
*/

import type {PrefillWork} from './prefill-work.js';

/**
Entries are compared by identity: the load tracker removes only an object that it returned itself.
*/
export type LoadEntry = {
	/** What the prefill is measured by; undefined for a prompt that tells nothing of the engine's speed. */
	readonly prefill?: PrefillWork | undefined;
	readonly target: string;
	/** Prefill time that its prompt still needs; 0 once the prefill has ended. */
	readMilliseconds: number;
};
