/**
The beginning of a prompt that other prompts share, as engines may have it in their prefix caches.
*/
import type {RequestFacts} from '../../../fleet/request-facts.js';
import {sharedParts} from './shared-parts.js';

type SharedPrefix = {
	readonly parts: ReturnType<typeof sharedParts>;
	/** Same for all prompts that begin with the same shared parts. */
	readonly key: string;
	readonly tokens: number;
};

/**
Returns the shared parts of a prompt, all but its last one, and their tokens.

@example
```
sharedPrefix(facts); // {parts: [{id: '5c1e07a2', tokens: 800}], key: '5c1e07a2', tokens: 800}
```
*/
export const sharedPrefix = (facts: RequestFacts): SharedPrefix => {
	const parts = sharedParts(facts);
	return {
		parts,
		key: parts.map(({id}) => id).join(','),
		tokens: parts.reduce((sum, {tokens}) => sum + tokens, 0),
	};
};
