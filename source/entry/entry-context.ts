/**
The components that all parts of an entry gateway share.
*/
import type {Logger} from 'roarr';
import type {LearnedCapacity} from '../decisions/capacity/learned-capacity.js';
import type {PrefixCacheIndex} from '../decisions/entry/caches/prefix-cache-index.js';
import type {WindowedRetryBudget} from '../decisions/entry/requests/windowed-retry-budget.js';
import type {TargetRegistry} from '../decisions/entry/targets/target-registry.js';
import type {TargetHealth} from '../decisions/entry/targets/target-health.js';
import type {TargetPauses} from '../decisions/entry/targets/target-pauses.js';
import type {Duties} from '../duties/duties.js';
import type {ServiceDescription} from '../fleet/service-description.js';
import type {TargetProtocol} from '../ports/target-protocol.js';
import type {Timers} from '../shared/timers.js';
import type {AnswerPacer} from './answer-pacer.js';
import type {BufferedBytes} from './buffered-bytes.js';
import type {CrashMonitor} from './crash-monitor.js';
import type {EntryMetrics} from './entry-metrics.js';
import type {EntrySettings} from './entry-settings.js';
import type {LoadTracker} from './load-tracker.js';
import type {LoopActivity} from './loop-activity.js';
import type {PromptQuarantine} from './prompt-quarantine.js';
import type {TargetRateLimits} from './target-rate-limits.js';
import type {TargetConnections} from './target-connections.js';
import type {TeamFairness} from './team-fairness.js';

/**
One instance exists per process. `now` returns monotonic time in milliseconds.
*/
export type EntryContext = {
	readonly settings: () => EntrySettings;
	readonly protocol: TargetProtocol;
	readonly targetRegistry: TargetRegistry;
	readonly loadTracker: LoadTracker;
	/** What teams have used, and what follows from it; without effect where no teams are configured. */
	readonly fairness: TeamFairness;
	readonly prefixCache: PrefixCacheIndex;
	readonly health: TargetHealth;
	/** Targets that have asked this gateway for a pause. */
	readonly pauses: TargetPauses;
	/** How many requests a second targets take. */
	readonly rateLimits: TargetRateLimits;
	/** How fast targets are, learned from outcomes. */
	readonly capacity: LearnedCapacity;
	readonly connections: TargetConnections;
	/** Keeps the reading of large answers from taking the event loop's time from everything else. */
	readonly pacer: AnswerPacer;
	/** Requests that have no final answer yet. */
	readonly openRequests: Set<{readonly stop: () => void; readonly refuseIfDenied: () => void}>;
	/** Bytes of answers that are held until they are whole. */
	readonly bufferedAnswers: BufferedBytes;
	/** Told of each attempt that its target broke off. */
	readonly crashMonitor: Pick<CrashMonitor, 'recordLost' | 'forgetOld'>;
	readonly metrics: EntryMetrics;
	readonly log: Logger;
	/** Prompts that crash engines. */
	readonly quarantine: PromptQuarantine;
	/** What the event loop spends its time on. */
	readonly activity: LoopActivity;
	/** Decides which successful requests are logged, and counts the others. */
	readonly sampling: {readonly mayWrite: (now: number) => boolean; readonly onOmitted: () => void};
	readonly now: () => number;
	readonly timers: Timers;
	readonly random: () => number;
	/** Number of gateways that are alive, including this one. */
	readonly gatewayCount: () => number;
	readonly service: (name: string) => ServiceDescription | undefined;
	readonly retryBudget: (service: string) => WindowedRetryBudget;
	/** Undefined where the settings name no duties. */
	readonly duties?: Duties | undefined;
};
