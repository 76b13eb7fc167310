/**
Catches invariant errors, so that a violated invariant does not end the process.
*/
import {InvariantError} from './invariant-error.js';
import {logger} from './logger.js';
import type {Metrics} from './metrics.js';

const log = logger.child({module: 'invariants'});

/**
Runs `action`. If it throws an {@link InvariantError}, counts, logs and returns the error;
rethrows every other error.

@example
```
const broken = catchInvariantError(metrics, {event: event.kind}, () => table.handle(event, clock()));
```
*/
export const catchInvariantError = (metrics: Metrics, context: Readonly<Record<string, string>>, action: () => void): InvariantError | undefined => {
	try {
		action();
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
