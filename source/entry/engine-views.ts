/**
Puts together what decisions need to know of a service's engines.
*/
import type {EngineView} from '../decisions/entry/engine-view.js';
import type {TargetRecord} from '../fleet/target-record.js';
import type {EntryContext} from './entry-context.js';

type EngineViews = {readonly views: readonly EngineView[]; readonly record: (id: string) => TargetRecord};

/**
Returns one view for each usable engine, and the records behind them.

@example
```
const {views, record} = engineViews(context, 'appraiser-models');
```
*/
export const engineViews = ({beliefs, book, health, now}: EntryContext, service: string): EngineViews => {
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
