/**
One gateway's queue of prompts and its grants, in virtual time, beside other such gateways.
*/
import type {Logger} from 'roarr';
import {LearnedCapacity} from '../../source/decisions/capacity/learned-capacity.js';
import {PrefixCacheIndex} from '../../source/decisions/entry/caches/prefix-cache-index.js';
import {TargetHealth} from '../../source/decisions/entry/targets/target-health.js';
import {TargetPauses} from '../../source/decisions/entry/targets/target-pauses.js';
import {TargetRegistry} from '../../source/decisions/entry/targets/target-registry.js';
import type {WaitingPrompt} from '../../source/decisions/entry/prompts/waiting-prompt.js';
import type {EntryContext} from '../../source/entry/entry-context.js';
import {EntryMetrics} from '../../source/entry/entry-metrics.js';
import {LoadTracker} from '../../source/entry/load-tracker.js';
import {LoopActivity} from '../../source/entry/loop-activity.js';
import {PrefillGrants} from '../../source/entry/prefill-grants.js';
import type {PromptQuarantine} from '../../source/entry/prompt-quarantine.js';
import {PromptQueues} from '../../source/entry/prompt-queues.js';
import {TeamFairness} from '../../source/entry/team-fairness.js';
import type {ServiceDescription} from '../../source/fleet/service-description.js';
import type {TargetRecord} from '../../source/fleet/target-record.js';
import type {PeerMessage} from '../../source/generated/peer-messages.js';
import type {VirtualTime} from './virtual-time.js';
import {loneRateLimits} from './lone-rate-limits.js';

type Verdict = Parameters<Parameters<PromptQueues['enqueue']>[2]>[0];

type GatewayOptions = {
	readonly name: string;
	readonly time: VirtualTime;
	readonly targets: readonly TargetRecord[];
	/** All gateways by name, this one included. A gateway that is missing here is gone for the others. */
	readonly gateways: Map<string, VirtualQueueGateway>;
	/** Time from a message's sending to its handling by the peer. */
	readonly wayMilliseconds: () => number;
};

const digestMilliseconds = 200;

/**
Sends its own load to the others at the usual interval.

@example
```
const gateway = new VirtualQueueGateway({name: 'gateway-1', time, targets, gateways, wayMilliseconds: () => 1});
gateway.enqueue('r1', verdict => placed.push(verdict));
```
*/
export class VirtualQueueGateway {
	readonly loadTracker: LoadTracker;
	readonly #options: GatewayOptions;
	readonly #grants: PrefillGrants;
	readonly #queues: PromptQueues;

	constructor(options: GatewayOptions) {
		this.#options = options;
		const {name, time, gateways} = options;
		this.loadTracker = new LoadTracker((target, milliseconds) => {
			this.#grants.reportPrefillEnd(target, milliseconds);
		});
		const context = this.#createContext();
		this.#grants = new PrefillGrants({
			context,
			peers: () => [...gateways.keys()].filter(peer => peer !== name).map(peer => ({name: peer, availabilityZone: 'a'})),
			send: (peer, message) => {
				this.#send(peer, message);
			},
		});
		this.#queues = new PromptQueues(context, this.#grants, () => undefined);
		time.every(digestMilliseconds, () => {
			this.shareLoad();
		});
	}

	/** Reports this gateway's load to all others. */
	shareLoad(): void {
		const {name, time, gateways, wayMilliseconds} = this.#options;
		const loads = this.loadTracker.ownLoads();
		for (const [peer, gateway] of gateways) {
			if (peer !== name) {
				time.after(wayMilliseconds(), () => {
					gateway.loadTracker.setPeerLoad(name, loads, time.now);
				});
			}
		}
	}

	/** Enqueues a long prompt, of a team if one is given. */
	enqueue(id: string, decide: (verdict: Verdict) => void, team?: string): void {
		const {now} = this.#options.time;
		const sharedParts = [{id: 'aa', tokens: 13_300}];
		const prompt: WaitingPrompt = {
			id, team, teamPriority: 0, kind: 'models', priority: 0, dueAt: now + 1500, giveUpAt: now + 6000, tokens: 17_000, sharedParts, sharedKey: 'aa', sharedTokens: 13_300, bodyBytes: 1000, avoid: new Set(), isInPlaceOnly: false,
		};
		this.#queues.enqueue('models', prompt, decide);
	}

	/** Looks at the queue again, as when a target has answered. */
	processSoon(): void {
		this.#queues.processSoon();
	}

	receive(peer: string, message: PeerMessage): void {
		switch (message.kind) {
			case 'ask': {
				this.#grants.handleAsk(peer, message);
				return;
			}

			case 'answer': {
				this.#grants.handleAnswer(message);
				return;
			}

			case 'read': {
				this.#grants.handlePrefillEnd(peer, message);
				return;
			}

			case 'hello':
			case 'digest':
			case 'fresh':
			case 'crashes':
			case 'want':
			case 'zone load':
			case 'rate limit':
			case 'permit ask':
			case 'permits':
			case 'targets':
			case 'usage':
			case 'duty':
			case 'reports':
			case 'configuration': {
				throw new Error(`unexpected message ${message.kind}`);
			}
		}
	}

	#send(peer: string, message: PeerMessage): void {
		const {name, time, gateways, wayMilliseconds} = this.#options;
		time.after(wayMilliseconds(), () => {
			gateways.get(peer)?.receive(name, message);
		});
	}

	#createContext(): EntryContext {
		const {name, time, targets, gateways} = this.#options;
		const targetRegistry = new TargetRegistry(1200);
		targetRegistry.adopt({era: 1, revision: 1, targets}, 0, 0);
		const service: Partial<ServiceDescription> = {
			name: 'models',
			engine: {
				slots: 64, cacheTokens: 400_000, bytesPerToken: 1000, linkMegabitsPerSecond: 100_000,
			},
		};
		const context: Partial<EntryContext> = {
			quarantine: {changes: 0, check: () => undefined, recordAnswered: () => undefined} as unknown as PromptQuarantine,
			settings: () => ({name, availabilityZone: 'zone-a'} as unknown as ReturnType<EntryContext['settings']>),
			targetRegistry,
			loadTracker: this.loadTracker,
			fairness: new TeamFairness({metrics: {count: () => undefined}, now: () => time.now}),
			prefixCache: new PrefixCacheIndex(),
			health: new TargetHealth(),
			pauses: new TargetPauses(),
			rateLimits: loneRateLimits(() => time.now),
			capacity: new LearnedCapacity(),
			metrics: new EntryMetrics(),
			log: {info: () => undefined, warn: () => undefined} as unknown as Logger,
			activity: new LoopActivity(() => time.now),
			now: () => time.now,
			timers: time,
			random: () => 0.5,
			gatewayCount: () => gateways.size,
			service: () => service as ServiceDescription,
		};
		return context as EntryContext;
	}
}
