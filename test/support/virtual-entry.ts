/**
The way of requests at one entry gateway, in virtual time, before targets of a
plain service and engines that only count what arrives.
*/
import * as option from 'fp-ts/lib/Option.js';
import type {Logger} from 'roarr';
import {LearnedCapacity} from '../../source/decisions/capacity/learned-capacity.js';
import {PrefixCacheIndex} from '../../source/decisions/entry/caches/prefix-cache-index.js';
import {WindowedRetryBudget} from '../../source/decisions/entry/requests/windowed-retry-budget.js';
import {TargetRegistry} from '../../source/decisions/entry/targets/target-registry.js';
import {TargetHealth} from '../../source/decisions/entry/targets/target-health.js';
import {TargetPauses} from '../../source/decisions/entry/targets/target-pauses.js';
import type {AttemptSender} from '../../source/entry/attempt-sender.js';
import type {CallerAnswer} from '../../source/entry/caller-answer.js';
import type {CallerRequest} from '../../source/entry/caller-request.js';
import type {EntryContext} from '../../source/entry/entry-context.js';
import type {EntryMetrics} from '../../source/entry/entry-metrics.js';
import {LoadTracker} from '../../source/entry/load-tracker.js';
import {LoopActivity} from '../../source/entry/loop-activity.js';
import {PlainRelay} from '../../source/entry/plain-relay.js';
import type {PromptQuarantine} from '../../source/entry/prompt-quarantine.js';
import type {PromptQueues} from '../../source/entry/prompt-queues.js';
import {StreamRelay} from '../../source/entry/stream-relay.js';
import {TeamFairness} from '../../source/entry/team-fairness.js';
import type {Route} from '../../source/fleet/route.js';
import type {TargetRecord} from '../../source/fleet/target-record.js';
import type {ServiceDescription} from '../../source/fleet/service-description.js';
import type {TargetProtocol} from '../../source/ports/target-protocol.js';
import {loneRateLimits} from './lone-rate-limits.js';
import type {RetryJudge} from './retry-judge.js';
import type {RetryTrouble} from './retry-trouble.js';
import {VirtualProcess} from './virtual-process.js';
import {VirtualSender} from './virtual-sender.js';
import type {VirtualTime} from './virtual-time.js';

type ServiceName = 'floor' | 'models';

type EntryOptions = {
	readonly name: string;
	readonly time: VirtualTime;
	readonly judge: RetryJudge;
	readonly bounds: ConstructorParameters<typeof WindowedRetryBudget>[0];
	readonly troubles: Readonly<Record<ServiceName, RetryTrouble>>;
	/** Gateways that this one is linked to, itself included. */
	readonly gateways: () => number;
	readonly random: () => number;
};

const patienceMilliseconds = 3000;
const targetsEach = 6;
const parts = [{id: 'aa', tokens: 13_000}, {id: 'bb', tokens: 400}];

const targets: readonly TargetRecord[] = (['floor', 'models'] as const).flatMap(service => Array.from({length: targetsEach}, (_, index) => ({
	id: `${service}-${index}`,
	incarnation: `${service}-${index} 1`,
	bornAt: 1,
	service,
	address: `10.1.0.${index}:80`,
	availabilityZone: 'a',
	isDraining: false,
	slots: 8,
	role: index < 2 ? 'prefill' : 'decode',
})));

const engines = {engine: {cacheTokens: 400_000}} as unknown as ServiceDescription;

class JudgedWindow extends WindowedRetryBudget {
	readonly #judge: RetryJudge;

	constructor(bounds: ConstructorParameters<typeof WindowedRetryBudget>[0], judge: RetryJudge) {
		super(bounds);
		this.#judge = judge;
	}

	override spend(now: number, isHeld: boolean): ReturnType<WindowedRetryBudget['spend']> {
		const {room} = this.facts(now);
		const charge = super.spend(now, isHeld);
		if (option.isSome(charge) && room < 1) {
			this.#judge.sentWithoutRoom();
		}

		return charge;
	}
}

/**
One process, from its start until it is killed.

@example
```
const entry = new VirtualEntry(options);
entry.take('floor', 'r1');
```
*/
export class VirtualEntry {
	readonly process: VirtualProcess;
	readonly #options: EntryOptions;
	readonly #windows = new Map<string, WindowedRetryBudget>();
	readonly #contexts: Readonly<Record<ServiceName, EntryContext>>;
	readonly #senders: Readonly<Record<ServiceName, AttemptSender>>;

	constructor(options: EntryOptions) {
		this.#options = options;
		this.process = new VirtualProcess(options.time);
		this.#contexts = {floor: this.#createContext('floor'), models: this.#createContext('models')};
		this.#senders = {floor: this.#createSender('floor'), models: this.#createSender('models')};
	}

	/** Takes a request that a caller sent now; a frozen process reads it later. */
	take(service: ServiceName, requestId: string): void {
		const {judge, time} = this.#options;
		judge.request(service, time.now);
		this.process.after(1, () => {
			void this.#carry(service, requestId);
		});
	}

	async #carry(service: ServiceName, requestId: string): Promise<void> {
		const {random, troubles, time} = this.#options;
		const context = this.#contexts[service];
		const request = this.#request(service, requestId, random() < troubles[service].leaving ? random() * 400 : undefined);
		await (service === 'floor'
			? new PlainRelay(request, context, this.#senders.floor).run()
			: new StreamRelay(request, context, this.#senders.models, this.#queues(time.now)).run());
	}

	#request(service: ServiceName, requestId: string, leavesAfter: number | undefined): CallerRequest {
		const {time} = this.#options;
		const answer: Partial<CallerAnswer> = {
			isStarted: false,
			isDone: false,
			start: () => undefined,
			write: () => undefined,
			end: () => undefined,
			sendError: () => undefined,
			abort: () => undefined,
			send: () => undefined,
			onDisconnect: callback => {
				if (leavesAfter !== undefined) {
					this.process.after(leavesAfter, callback);
				}
			},
		};
		const route = {
			name: service,
			kind: service === 'floor' ? 'idempotent' : 'streaming',
			isResumable: true,
			mostAttempts: 3,
			timeoutMilliseconds: patienceMilliseconds,
			targetLatencyMilliseconds: 400,
			firstEventPatienceMilliseconds: 2000,
			priority: 0,
		} as unknown as Route;
		return {
			facts: {
				requestId, patienceMilliseconds, prompt: {tokens: 13_400, parts}, lastEventId: undefined, headers: [],
			},
			route,
			team: {kind: 'none'},
			urgency: {order: 0, levels: undefined},
			recheckAccess: () => ({kind: 'unchanged'}),
			service,
			configurationVersion: 1,
			method: 'POST',
			path: '/',
			body: undefined,
			answer: answer as CallerAnswer,
			startedAt: time.now,
			deadlineAt: time.now + patienceMilliseconds,
		};
	}

	/** Places each prompt at any engine after a while. */
	#queues(startedAt: number): PromptQueues {
		const {random, troubles, time} = this.#options;
		const enqueue: PromptQueues['enqueue'] = (service, prompt, decide) => {
			let isWithdrawn = false;
			this.process.after(random() * troubles.models.queueMilliseconds, () => {
				if (isWithdrawn) {
					return;
				}

				const way = prompt.isInPlaceOnly || random() < 0.3 ? 'in place' : 'prefill first';
				const candidates = targets.filter(target => target.service === service && target.role === (way === 'in place' ? 'decode' : 'prefill'));
				const target = candidates[Math.floor(random() * candidates.length)]!;
				const engine = {
					id: target.id, availabilityZone: 'a', role: target.role!, slots: 8, attempts: 0, readMilliseconds: 0, isAvoided: false, failureShare: 0,
				};
				decide({
					kind: 'placed',
					placement: {
						engine, cachedTokens: 0, way, readMilliseconds: 60, fetchFrom: undefined, latency: time.now - startedAt, cost: 1,
					},
					lane: 'onTime',
					target,
					fetchFrom: undefined,
					entry: this.#contexts.models.loadTracker.add(target.id, 60),
					grant: 'own',
					denials: 0,
				});
			});
			return () => {
				isWithdrawn = true;
			};
		};

		return {enqueue} as unknown as PromptQueues;
	}

	#createSender(service: ServiceName): AttemptSender {
		const {judge, troubles, time, random} = this.#options;
		return new VirtualSender({
			service,
			judge,
			trouble: troubles[service],
			now: () => time.now,
			after: this.process.after,
			random,
			onEnd: ({entry}) => {
				if (entry !== undefined) {
					this.#contexts[service].loadTracker.remove(entry);
				}
			},
		}) as unknown as AttemptSender;
	}

	#createContext(service: ServiceName): EntryContext {
		const {name, time, judge, bounds, gateways, random} = this.#options;
		const beliefs = new TargetRegistry(1200);
		beliefs.adopt({era: 1, revision: 1, targets}, time.now, time.now);
		const metrics: Partial<EntryMetrics> = {
			count(counted) {
				if (counted === 'retry.denied') {
					judge.denied(service, time.now);
				}
			},
			record: () => undefined,
			gauge: () => undefined,
		};
		const context: Partial<EntryContext> = {
			quarantine: {changes: 0, check: () => undefined, recordAnswered: () => undefined} as unknown as PromptQuarantine,
			settings: () => ({name, availabilityZone: 'a'} as unknown as ReturnType<EntryContext['settings']>),
			protocol: {writeRefusal: () => ({}), readPrefill: () => option.some({id: 'h', tokens: 13_400})} as unknown as TargetProtocol,
			targetRegistry: beliefs,
			loadTracker: new LoadTracker(),
			fairness: new TeamFairness({metrics: {count: () => undefined}, now: () => time.now}),
			prefixCache: new PrefixCacheIndex(),
			health: new TargetHealth(),
			pauses: new TargetPauses(),
			rateLimits: loneRateLimits(() => time.now),
			capacity: new LearnedCapacity(),
			openRequests: new Set(),
			metrics: metrics as EntryMetrics,
			log: {info: () => undefined, warn: () => undefined} as unknown as Logger,
			activity: new LoopActivity(() => time.now),
			sampling: {mayWrite: () => false, onOmitted: () => undefined},
			now: () => time.now,
			timers: {
				after: this.process.after,
				every: () => () => undefined,
			},
			random,
			gatewayCount: gateways,
			service: () => engines,
			retryBudget: () => {
				const window = this.#windows.get(service) ?? new JudgedWindow(bounds, judge);
				this.#windows.set(service, window);
				return window;
			},
		};
		return context as EntryContext;
	}
}
