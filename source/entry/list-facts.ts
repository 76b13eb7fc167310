/**
What a log line says of the list of targets that a decision went by.
*/
import type {EntryContext} from './entry-context.js';

/** Age that stands for a list that was never read. */
const mostAge = 3_600_000;

/**
Returns the store's revision of the list in force, and how many milliseconds ago
it was known last to hold.

@example
```
log.info({event: 'call placed', target, ...listFacts(context)}, 'call placed');
```
*/
export const listFacts = ({targetRegistry, now}: Pick<EntryContext, 'targetRegistry' | 'now'>): {readonly revision: number; readonly listAge: number} => ({
	revision: targetRegistry.list.revision,
	listAge: Math.round(Math.min(mostAge, now() - targetRegistry.readAt)),
});
