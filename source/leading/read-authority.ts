/**
Asks the store whether a fencing number still holds the lease of a service.
*/
import * as option from 'fp-ts/lib/Option.js';
import type {KeyValueService} from '../ports/key-value-service.js';
import {clock} from '../shared/clock.js';
import {leadershipKey} from './leadership-key.js';

const millisecondsPerSecond = 1000;

type Authority = {readonly readStartedAt: number; readonly remainingMilliseconds: number};

/**
Returns what is left of the lease under that number; 0 when another holds it or
the store does not answer.

The key is read after the lease's time, so that a lease which lapsed in between
is not taken for held.

@example
```
const {readStartedAt, remainingMilliseconds} = await readAuthority(store, 'advice-llm', 812);
```
*/
export const readAuthority = async (store: KeyValueService, service: string, fencingNumber: number): Promise<Authority> => {
	const readStartedAt = clock();
	const nothing: Authority = {readStartedAt, remainingMilliseconds: 0};
	const first = await store.read(leadershipKey(service));
	if (first.isErr() || option.isNone(first.value) || first.value.value.createdRevision !== fencingNumber) {
		return nothing;
	}

	const remaining = await store.leaseTimeToLive(first.value.value.lease);
	const last = await store.read(leadershipKey(service));
	const isHeld = last.isOk() && option.isSome(last.value) && last.value.value.createdRevision === fencingNumber;
	return isHeld && remaining.isOk()
		? {readStartedAt, remainingMilliseconds: Math.max(0, remaining.value * millisecondsPerSecond)}
		: nothing;
};
