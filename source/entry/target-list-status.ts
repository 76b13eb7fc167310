/**
Describes the list of targets in force, for log lines and for messages to peers.
*/
import type {EntryContext} from './entry-context.js';

/** Upper bound of the age, and the age of a list that was never read. */
const maxAgeMilliseconds = 3_600_000;

/**
Returns the store's revision of the list in force, and how many milliseconds ago the
list was last known to be current.

@example
```
log.info({event: 'call placed', target, ...targetListStatus(context)}, 'call placed');
```
*/
export const targetListStatus = ({targetRegistry, now}: Pick<EntryContext, 'targetRegistry' | 'now'>): {readonly revision: number; readonly listAge: number} => ({
	revision: targetRegistry.list.revision,
	listAge: Math.round(Math.min(maxAgeMilliseconds, now() - targetRegistry.readAt)),
});
