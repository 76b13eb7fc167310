/**
Waits for a moment for permits that were asked for.
*/
import type {EntryContext} from './entry-context.js';
import type {RequestLifecycle} from './request-lifecycle.js';

/**
Resolves when permits of any target have arrived, soon after when none have, or when the request ends.

@example
```
await awaitPermits(context, lifecycle);
if (!lifecycle.isEnded) {
	chooseTarget();
}
```
*/
export const awaitPermits = async ({rateLimits}: Pick<EntryContext, 'rateLimits'>, lifecycle: Pick<RequestLifecycle, 'setCancelAttempt'>): Promise<void> => new Promise(resolve => {
	const end = rateLimits.waitForPermits(resolve);
	lifecycle.setCancelAttempt(() => {
		end();
		resolve();
	});
});
