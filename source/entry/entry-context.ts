/**
What the parts of an entry gateway share.
*/
import type {Logger} from 'roarr';
import type {PrefixCacheIndex} from '../decisions/entry/prefix-cache-index.js';
import type {WindowedRetryBudget} from '../decisions/entry/windowed-retry-budget.js';
import type {TargetRegistry} from '../decisions/entry/target-registry.js';
import type {TargetHealth} from '../decisions/entry/target-health.js';
import type {ServiceDescription} from '../fleet/service-description.js';
import type {TargetProtocol} from '../ports/target-protocol.js';
import type {Timers} from '../shared/timers.js';
import type {EntryMetrics} from './entry-metrics.js';
import type {EntrySettings} from './entry-settings.js';
import type {LoadBook} from './load-book.js';
import type {TargetConnections} from './target-connections.js';

/**
One instance a process. `now` is monotonic, in milliseconds.
*/
export type EntryContext = {
	readonly settings: () => EntrySettings;
	readonly protocol: TargetProtocol;
	readonly beliefs: TargetRegistry;
	readonly book: LoadBook;
	readonly kept: PrefixCacheIndex;
	readonly health: TargetHealth;
	readonly connections: TargetConnections;
	readonly metrics: EntryMetrics;
	readonly log: Logger;
	/** Which of the requests that went well are logged. */
	readonly sampling: {readonly mayWrite: (now: number) => boolean; readonly onLeftOut: () => void};
	readonly now: () => number;
	readonly timers: Timers;
	readonly random: () => number;
	/** Gateways that are alive, this one included. */
	readonly gateways: () => number;
	readonly service: (name: string) => ServiceDescription | undefined;
	readonly retries: (service: string) => WindowedRetryBudget;
};
