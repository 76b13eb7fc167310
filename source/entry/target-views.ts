/**
Builds the views of a service's targets that the scheduling decisions use.
*/
import type {CallTarget} from '../decisions/entry/targets/call-target.js';
import type {EngineView} from '../decisions/entry/prompts/engine-view.js';
import type {TargetRecord} from '../fleet/target-record.js';
import type {EntryContext} from './entry-context.js';

type TargetViews = {readonly views: ReadonlyArray<EngineView & CallTarget>; readonly record: (id: string) => TargetRecord};

/**
Returns one view for each usable target that has not asked for a pause, and a function that finds a target's record.
A target of a plain service has no role. Its view has the role 'decode', which no
decision on plain services reads.

@example
```
const {views, record} = targetViews(context, 'appraiser-models');
```
*/
export const targetViews = ({targetRegistry, loadTracker, health, pauses, rateLimits, capacity, now}: EntryContext, service: string): TargetViews => {
	const at = now();
	const {hasLimits} = rateLimits;
	const records = new Map(targetRegistry.usable(service)
		.filter(({incarnation}) => !pauses.isPaused(incarnation, at))
		.map(record => [record.id, record]));
	return {
		views: [...records.values()].map(record => {
			const {speed, limit, callMilliseconds, reported} = capacity.of(record, at);
			const {attempts, readMilliseconds} = loadTracker.totalLoad(record.id, at);
			return {
				id: record.id,
				availabilityZone: record.availabilityZone,
				role: record.role ?? 'decode',
				slots: record.slots,
				attempts: record.role === undefined ? Math.max(attempts, reported?.requests ?? 0) : attempts,
				readMilliseconds,
				isAvoided: health.isAvoided(record.incarnation, at),
				failureShare: health.failureShare(record.incarnation),
				speed,
				capacity: limit,
				slowdown: reported?.slowdown,
				callMilliseconds,
				permits: hasLimits ? rateLimits.permits(record.incarnation) : undefined,
				permitsPerSecond: hasLimits ? rateLimits.permitsPerSecond(record.incarnation) : undefined,
			};
		}),
		record: id => records.get(id)!,
	};
};
