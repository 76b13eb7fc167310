/**
Decides whether a process adopts a configuration that it received.

It guarantees that a process never returns to an older generation, and that a
generation stands for the same document in every process.
*/
import * as option from 'fp-ts/lib/Option.js';
import {resultCode} from '../../generated/result-codes.js';
import {assertInvariant} from '../../shared/assert-invariant.js';
import type {AcceptedConfiguration} from './accepted-configuration.js';

type Adoption = 'adopt' | 'already in force' | 'older';

/**
Compares a received configuration with the one in force.

@throws InvariantError when two different submissions have the same generation.

@example
```
adoptConfiguration(option.none, received); // 'adopt'
```
*/
export const adoptConfiguration = (inForce: option.Option<AcceptedConfiguration>, received: AcceptedConfiguration): Adoption => {
	if (option.isNone(inForce) || received.generation > inForce.value.generation) {
		return 'adopt';
	}

	if (received.generation < inForce.value.generation) {
		return 'older';
	}

	assertInvariant(
		received.submissionId === inForce.value.submissionId,
		resultCode.configurationInvariantBroken,
		`generation ${received.generation} belongs to two submissions: ${inForce.value.submissionId} and ${received.submissionId}`,
	);
	return 'already in force';
};
