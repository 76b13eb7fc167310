/**
Reads earlier accepted configurations from the store.
*/
import * as option from 'fp-ts/lib/Option.js';
import {ok, type Result} from 'neverthrow';
import type {AcceptedConfiguration} from '../decisions/configuration/accepted-configuration.js';
import type {KeyValueService} from '../ports/key-value-service.js';
import type {StoreError} from '../ports/store-error.js';
import {historyKey} from './history-key.js';
import {parseAccepted} from './parse-accepted.js';

/**
Returns up to `count` records up to and including `generation`, newest first. Records that
have been overwritten or cannot be parsed are left out.

@example
```
await readHistory(store, replica.generation, 10);
```
*/
export const readHistory = async (store: KeyValueService, generation: number, count: number): Promise<Result<readonly AcceptedConfiguration[], StoreError>> => {
	const wanted = Array.from({length: Math.min(count, generation)}, (_, index) => generation - index);
	const read = await Promise.all(wanted.map(async number => store.read(historyKey(number))));
	const failed = read.find(result => result.isErr());
	if (failed?.isErr() === true) {
		return failed.map(() => []);
	}

	return ok(read.flatMap((result, index) => {
		const stored = result.unwrapOr(option.none);
		return option.isSome(stored)
			? parseAccepted(stored.value.value).match(({accepted}) => accepted.generation === wanted[index] ? [accepted] : [], () => [])
			: [];
	}));
};
