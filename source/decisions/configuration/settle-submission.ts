/**
Decides what became of a submitted configuration from what the store holds now.
*/
import * as option from 'fp-ts/lib/Option.js';
import type {AcceptedConfiguration} from './accepted-configuration.js';

type Settlement =
	| {readonly kind: 'accepted'}
	| {readonly kind: 'try again'}
	| {readonly kind: 'conflict'; readonly current: AcceptedConfiguration}
	| {readonly kind: 'superseded or lost'; readonly current: AcceptedConfiguration};

/**
Compares submission ids instead of guessing from a lost answer.

When the store already holds a later generation, the submission may have been in
force for a moment; which of both cannot be told from the store alone.

@example
```
settleSubmission(option.some(current), submitted, basedOn);
```
*/
export const settleSubmission = (stored: option.Option<AcceptedConfiguration>, submitted: AcceptedConfiguration, basedOn: number): Settlement => {
	const generation = option.isSome(stored) ? stored.value.generation : 0;
	if (option.isNone(stored) || generation === basedOn) {
		return {kind: 'try again'};
	}

	if (stored.value.submissionId === submitted.submissionId) {
		return {kind: 'accepted'};
	}

	return generation === submitted.generation
		? {kind: 'conflict', current: stored.value}
		: {kind: 'superseded or lost', current: stored.value};
};
