/**
Puts together what decisions need to know of a service's targets.
*/
import type {EngineView} from '../decisions/entry/engine-view.js';
import type {TargetRecord} from '../fleet/target-record.js';
import type {EntryContext} from './entry-context.js';

type TargetViews = {readonly views: readonly EngineView[]; readonly record: (id: string) => TargetRecord};

/**
Returns one view for each usable target, and the records behind them. A target
of a plain service has no role, and none of those that decide on it asks for one.

@example
```
const {views, record} = targetViews(context, 'appraiser-models');
```
*/
export const targetViews = ({beliefs, book, health, now}: EntryContext, service: string): TargetViews => {
	const records = new Map(beliefs.usable(service).map(record => [record.id, record]));
	const at = now();
	return {
		views: [...records.values()].map(record => ({
			id: record.id,
			availabilityZone: record.availabilityZone,
			role: record.role ?? 'decode',
			slots: record.slots,
			...book.total(record.id, at),
			isAvoided: health.isAvoided(record.incarnation, at),
			failureShare: health.failureShare(record.incarnation),
		})),
		record: id => records.get(id)!,
	};
};
