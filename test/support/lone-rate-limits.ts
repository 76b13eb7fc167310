/**
The rate limits of targets as a gateway without peers keeps them.
*/
import type {Logger} from 'roarr';
import {systemTimers} from '../../source/shared/system-timers.js';
import {EntryMetrics} from '../../source/entry/entry-metrics.js';
import {TargetRateLimits} from '../../source/entry/target-rate-limits.js';

/**
Returns an instance that writes no log.

@example
```
const context = {rateLimits: loneRateLimits(() => time.now)};
```
*/
export const loneRateLimits = (now: () => number): TargetRateLimits => new TargetRateLimits({
	fleet: () => ({own: '', linked: [], unlinked: []}),
	gatewayCount: () => 1,
	send: () => undefined,
	broadcast: () => undefined,
	onPermits: () => undefined,
	timers: systemTimers,
	log: {info: () => undefined, warn: () => undefined} as unknown as Logger,
	metrics: new EntryMetrics(),
	now,
});
