/**
Keeps a broken invariant from ending the process.
*/
import {InvariantError} from './invariant-error.js';
import {logger} from './logger.js';
import type {Metrics} from './metrics.js';

const log = logger.child({module: 'invariants'});

/**
Runs one action and returns the invariant that it would have broken, if any,
counted and logged. Other errors pass through.

@example
```
const broken = guardInvariants(metrics, {event: event.kind}, () => table.handle(event, clock()));
```
*/
export const guardInvariants = (metrics: Metrics, context: Readonly<Record<string, string>>, act: () => void): InvariantError | undefined => {
	try {
		act();
		return undefined;
	} catch (error) {
		if (!(error instanceof InvariantError)) {
			throw error;
		}

		metrics.count(`invariant.${error.code}`);
		log.error({...context, code: error.code}, error.message);
		return error;
	}
};
