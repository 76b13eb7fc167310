/**
Validates a configuration document and writes it to the store.
*/
import * as option from 'fp-ts/lib/Option.js';
import {err, ok, type Result} from 'neverthrow';
import type {AcceptedConfiguration} from '../decisions/configuration/accepted-configuration.js';
import {resolveSubmission} from '../decisions/configuration/resolve-submission.js';
import {resultCode} from '../generated/result-codes.js';
import type {KeyValueService} from '../ports/key-value-service.js';
import {pause} from '../shared/pause.js';
import {configurationKey} from './configuration-key.js';
import {historyKey} from './history-key.js';
import {parseAccepted} from './parse-accepted.js';
import {parseDocument} from './parse-document.js';

type Submission = {readonly document: string; readonly author: string; readonly basedOn: number; readonly submissionId: string};
type Failure = {readonly code: number; readonly errors: readonly string[]; readonly current?: AcceptedConfiguration};

const maxAttempts = 4;
const retryDelayMilliseconds = 300;

const readAccepted = async (store: KeyValueService): Promise<Result<{readonly accepted: option.Option<AcceptedConfiguration>; readonly revision: number}, Failure>> => {
	const stored = await store.read(configurationKey);
	return stored
		.mapErr(({detail}) => ({code: resultCode.storeUnavailable, errors: [detail]}))
		.map(value => option.isNone(value)
			? {accepted: option.none, revision: 0}
			: {
				accepted: parseAccepted(value.value.value).match(({accepted}) => option.some(accepted), () => option.none),
				revision: value.value.revision,
			});
};

/**
Writes the document if generation `basedOn` is still the newest one.

Returns the accepted record, or a failure with a result code: invalid (with all
errors), conflict (with the other operator's record), store unavailable, or outcome
unknown. When the answer to the write is lost, the record is read back and its
submission id compared.

@example
```
await submitConfiguration(store, {document, author: 'amna', basedOn: 7, submissionId: newIdentifier()});
```
*/
export const submitConfiguration = async (
	store: KeyValueService,
	{document, author, basedOn, submissionId}: Submission,
	wait: (milliseconds: number) => Promise<void> = pause,
): Promise<Result<AcceptedConfiguration, Failure>> => {
	const parsed = parseDocument(document);
	if (parsed.isErr()) {
		return err({code: resultCode.configurationInvalid, errors: parsed.error});
	}

	const submitted: AcceptedConfiguration = {
		generation: basedOn + 1, submissionId, author, submittedAt: new Date().toISOString(), document,
	};
	let mayHaveWritten = false;
	for (let attempt = 0; attempt < maxAttempts; attempt++) {
		const current = await readAccepted(store); // eslint-disable-line no-await-in-loop
		if (current.isErr()) {
			await wait(retryDelayMilliseconds); // eslint-disable-line no-await-in-loop
			continue;
		}

		const outcome = resolveSubmission(current.value.accepted, submitted, basedOn);
		switch (outcome.kind) {
			case 'accepted': {
				return ok(submitted);
			}

			case 'conflict': {
				return err({code: resultCode.configurationConflict, errors: [describeConflict(outcome.current)], current: outcome.current});
			}

			case 'superseded or lost': {
				return err({
					code: mayHaveWritten ? resultCode.configurationOutcomeUnknown : resultCode.configurationConflict,
					errors: [describeConflict(outcome.current)],
					current: outcome.current,
				});
			}

			case 'try again': {
				const value = JSON.stringify(submitted);
				const swap = {
					key: configurationKey, expectedRevision: current.value.revision, value, alsoPut: [{key: historyKey(submitted.generation), value}],
				};
				const swapped = await store.compareAndSwap(swap); // eslint-disable-line no-await-in-loop
				if (swapped.isOk() && option.isSome(swapped.value)) {
					return ok(submitted);
				}

				mayHaveWritten ||= swapped.isErr() && swapped.error.kind === 'unknown';
			}
		}
	}

	return err({code: mayHaveWritten ? resultCode.configurationOutcomeUnknown : resultCode.storeUnavailable, errors: ['no answer of the key-value service shows the outcome']});
};

const describeConflict = ({generation, author, submittedAt}: AcceptedConfiguration): string =>
	`generation ${generation} was accepted from ${author} at ${submittedAt}`;
