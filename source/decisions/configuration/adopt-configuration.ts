/**
Decides whether a process adopts a configuration that it hears of.

The promise kept here: what is in force never goes back to an older generation,
and one generation means one document everywhere.
*/
import * as option from 'fp-ts/lib/Option.js';
import {resultCode} from '../../generated/result-codes.js';
import {assertInvariant} from '../../shared/assert-invariant.js';
import type {AcceptedConfiguration} from './accepted-configuration.js';

type Adoption = 'adopt' | 'already in force' | 'older';

/**
Returns what to do with `heard`.

@throws InvariantError when two different documents claim one generation.

@example
```
adoptConfiguration(option.none, heard); // 'adopt'
```
*/
export const adoptConfiguration = (inForce: option.Option<AcceptedConfiguration>, heard: AcceptedConfiguration): Adoption => {
	if (option.isNone(inForce) || heard.generation > inForce.value.generation) {
		return 'adopt';
	}

	if (heard.generation < inForce.value.generation) {
		return 'older';
	}

	assertInvariant(
		heard.submissionId === inForce.value.submissionId,
		resultCode.configurationInvariantBroken,
		`generation ${heard.generation} is claimed by submissions ${inForce.value.submissionId} and ${heard.submissionId}`,
	);
	return 'already in force';
};
