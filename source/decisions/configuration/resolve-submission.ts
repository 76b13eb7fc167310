/**
Determines the outcome of a submitted configuration from what the store holds now.
*/
import * as option from 'fp-ts/lib/Option.js';
import type {AcceptedConfiguration} from './accepted-configuration.js';

type SubmissionOutcome =
	| {readonly kind: 'accepted'}
	| {readonly kind: 'try again'}
	| {readonly kind: 'conflict'; readonly current: AcceptedConfiguration}
	| {readonly kind: 'superseded or lost'; readonly current: AcceptedConfiguration};

/**
Returns the outcome, found by comparing submission ids; this works also when the
answer to the write was lost.

When the store already holds a later generation, the submission may have been
accepted and then superseded, or never accepted. The stored record does not
tell which.

@example
```
resolveSubmission(option.some(current), submitted, basedOn);
```
*/
export const resolveSubmission = (stored: option.Option<AcceptedConfiguration>, submitted: AcceptedConfiguration, basedOn: number): SubmissionOutcome => {
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
