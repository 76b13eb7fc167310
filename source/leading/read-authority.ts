/**
Reads from the store whether a fencing number still holds the lease of a service.
*/
import * as option from 'fp-ts/lib/Option.js';
import type {KeyValueService} from '../ports/key-value-service.js';
import {clock} from '../shared/clock.js';
import {leadershipKey} from './leadership-key.js';

const millisecondsPerSecond = 1000;

type Authority = {readonly readStartedAt: number; readonly remainingMilliseconds: number};

/**
Returns the remaining duration of the lease under that number, 0 when another
leader holds the lease or the store does not answer.

The key is read again after the lease's time to live, so that a lease which
expired in between is not reported as held.

@example
```
const {readStartedAt, remainingMilliseconds} = await readAuthority(store, 'advice-llm', 812);
```
*/
export const readAuthority = async (store: KeyValueService, service: string, fencingNumber: number): Promise<Authority> => {
	const readStartedAt = clock();
	const notHeld: Authority = {readStartedAt, remainingMilliseconds: 0};
	const before = await store.read(leadershipKey(service));
	if (before.isErr() || option.isNone(before.value) || before.value.value.createdRevision !== fencingNumber) {
		return notHeld;
	}

	const remaining = await store.leaseTimeToLive(before.value.value.lease);
	const after = await store.read(leadershipKey(service));
	const isHeld = after.isOk() && option.isSome(after.value) && after.value.value.createdRevision === fencingNumber;
	return isHeld && remaining.isOk()
		? {readStartedAt, remainingMilliseconds: Math.max(0, remaining.value * millisecondsPerSecond)}
		: notHeld;
};
