/**
What an entry gateway knows and tells, in virtual time, without the way of requests.
*/
import type {Logger} from 'roarr';
import {PrefixCacheIndex} from '../../source/decisions/entry/caches/prefix-cache-index.js';
import {TargetRegistry} from '../../source/decisions/entry/targets/target-registry.js';
import type {EntryContext} from '../../source/entry/entry-context.js';
import {EntryMetrics} from '../../source/entry/entry-metrics.js';
import type {EntrySettings} from '../../source/entry/entry-settings.js';
import {FleetState} from '../../source/entry/fleet-state.js';
import {LoadTracker} from '../../source/entry/load-tracker.js';
import {LoopActivity} from '../../source/entry/loop-activity.js';
import {PeerExchange} from '../../source/entry/peer-exchange.js';
import {PromptQuarantine} from '../../source/entry/prompt-quarantine.js';
import type {PrefillGrants} from '../../source/entry/prefill-grants.js';
import {QuarantineStore} from '../../source/entry/quarantine-store.js';
import {TeamFairness} from '../../source/entry/team-fairness.js';
import type {Timers} from '../../source/shared/timers.js';
import {loneRateLimits} from './lone-rate-limits.js';
import type {StoreFault} from './store-fault.js';
import type {VirtualLinks} from './virtual-links.js';
import {VirtualProcess} from './virtual-process.js';
import type {VirtualStore} from './virtual-store.js';
import type {VirtualTime} from './virtual-time.js';

type GatewayOptions = {
	readonly name: string;
	readonly incarnation: number;
	readonly time: VirtualTime;
	readonly store: VirtualStore;
	readonly links: VirtualLinks;
	readonly random: () => number;
};

const sweepMilliseconds = 1000;
const storeWayMilliseconds = 1;

/**
One process. Its faults are fields that a case sets.

@example
```
const gateway = new VirtualGateway({name: 'gateway-1', incarnation: 1, time, store, links, random});
gateway.freeze(2000, false);
```
*/
export class VirtualGateway {
	storeFault: StoreFault = 'none';
	/** What the link of this machine adds to each message. */
	delayMilliseconds = 0;
	cutUntil = 0;
	readonly lines: string[] = [];
	readonly beliefs = new TargetRegistry(1200);
	readonly quarantine: PromptQuarantine;
	readonly fairness: TeamFairness;
	readonly name: string;
	readonly startedAt: number;
	readonly #process: VirtualProcess;
	/** Time that the steady clock of this machine did not count. */
	#uncounted = 0;
	readonly #options: GatewayOptions;
	readonly #knowledge: FleetState;
	readonly #exchange: PeerExchange;
	readonly #quarantineStore: QuarantineStore;
	readonly #stopSweep: () => void;

	constructor(options: GatewayOptions) {
		this.#options = options;
		const {name, incarnation, time, store, links, random} = options;
		this.name = name;
		this.#process = new VirtualProcess(time);
		this.startedAt = time.now;
		this.quarantine = this.#createQuarantine();
		this.fairness = new TeamFairness({metrics: {count: () => undefined}, now: () => time.now});
		const context = this.#createContext();
		this.#knowledge = new FleetState({
			context,
			createStore: () => store.port({fault: () => this.cutUntil > time.now ? 'silent' : this.storeFault, way: () => storeWayMilliseconds + this.delayMilliseconds}),
			onConfiguration: () => {
				this.#exchange.feedDependents();
				this.#exchange.broadcastNow();
			},
			onTargets: changes => {
				if (changes.length > 0) {
					this.#exchange.feedDependents();
				}

				if (changes.some(({kind}) => kind === 'leaving')) {
					this.#exchange.broadcastNow();
				}
			},
		});
		this.#exchange = new PeerExchange({
			context,
			fleetState: this.#knowledge,
			followedEngines: () => [],
			grants: {handleAnswer: () => undefined} as unknown as PrefillGrants,
			peers: {
				get names() {
					return links.peersOf(name);
				},
				get members() {
					return links.peersOf(name).map(peer => ({name: peer, availabilityZone: 'a', linkMegabits: 1000}));
				},
				addresses: [],
				addAddresses: () => undefined,
				send(peer, message) {
					links.send(name, peer, message);
				},
				broadcast(message) {
					for (const peer of links.peersOf(name)) {
						links.send(name, peer, message);
					}
				},
			},
		});
		this.#quarantineStore = new QuarantineStore({
			name,
			peers: () => links.peersOf(name),
			store: () => this.#knowledge.store,
			quarantine: this.quarantine,
			log: context.log,
			metrics: context.metrics,
			timers: context.timers,
			wallClock: () => time.now,
		});
		links.add({
			name,
			incarnation: `${name} ${incarnation}`,
			receive: (peer, message) => {
				this.#exchange.receive(peer, message);
			},
			lost: peer => {
				this.#exchange.removePeer(peer);
			},
			run: this.#process.run,
			isAway: () => this.frozenUntil > time.now,
			delay: () => this.delayMilliseconds,
			cutUntil: () => this.cutUntil,
		}, random() * 100);
		this.#knowledge.start();
		this.#exchange.start();
		this.#quarantineStore.start();
		this.#stopSweep = context.timers.every(sweepMilliseconds, () => {
			this.quarantine.maintain();
			this.#quarantineStore.recordEra(this.#knowledge.era);
			this.#knowledge.updateFeed(links.peersOf(name).map(peer => ({name: peer, linkMegabits: 1000})));
		});
	}

	/** Until when the process stands still. */
	get frozenUntil(): number {
		return this.#process.frozenUntil;
	}

	/** True when this gateway would say that a route does not exist. */
	get isSure(): boolean {
		return this.#knowledge.inForce.isFresh(this.#options.time.now - this.#uncounted);
	}

	/** Runs what is due now, once the process runs; never after its end. */
	get run(): (act: () => void) => void {
		return this.#process.run;
	}

	/** The gateway that reads the store for this one, empty while it reads itself. */
	get reader(): string {
		return this.#knowledge.feed.reader;
	}

	/** Freezes the process; the steady clock of a suspended machine stands still meanwhile. */
	freeze(milliseconds: number, isSuspended: boolean): void {
		const {now} = this.#options.time;
		const until = Math.max(this.frozenUntil, now + milliseconds);
		// A steady clock never steps back, so time that two faults share counts once.
		this.#uncounted += isSuspended ? until - Math.max(this.frozenUntil, now) : 0;
		this.#process.frozenUntil = until;
	}

	/** Ends the process without a word. */
	kill(): void {
		this.#process.kill();
		this.#stopSweep();
		this.#exchange.stop();
		this.#quarantineStore.stop();
		void this.#knowledge.stop();
		this.#options.links.remove(this.name);
	}

	get #logger(): Logger {
		const write = (context: unknown): void => {
			this.lines.push(JSON.stringify({at: Math.round(this.#options.time.now), process: this.name, ...context as Record<string, unknown>}));
		};

		return {
			info: write, warn: write, error: write, debug: () => undefined,
		} as unknown as Logger;
	}

	#createQuarantine(): PromptQuarantine {
		const {name, time, links} = this.#options;
		return new PromptQuarantine({
			name,
			peers: () => links.peersOf(name),
			onCrash: () => {
				this.#exchange.broadcastCrashes();
			},
			onChange: () => {
				this.#quarantineStore.save();
			},
			log: this.#logger,
			metrics: new EntryMetrics(),
			now: () => time.now - this.#uncounted,
		});
	}

	#createContext(): EntryContext {
		const {name, time, links, random} = this.#options;
		const timers: Timers = {
			after: this.#process.after,
			every: (milliseconds, act) => time.every(milliseconds, () => {
				if (this.frozenUntil <= time.now) {
					this.#process.run(act);
				}
			}),
		};
		const settings: EntrySettings = {
			name,
			availabilityZone: 'a',
			listen: {callers: {host: '', port: 0}, readiness: {host: '', port: 0}, peers: undefined},
			isFirstStart: true,
			linkMegabits: 1000,
			peerSeeds: [],
			store: {address: '', readsPerSecond: 6000},
			bounds: {
				heartbeatMilliseconds: 1200, graceMilliseconds: 8000, retryShare: 0.2, retryWindowMilliseconds: 10_000, retryExtra: 50,
			},
		};
		const parts: Partial<EntryContext> = {
			settings: () => settings,
			targetRegistry: this.beliefs,
			loadTracker: new LoadTracker(),
			fairness: this.fairness,
			rateLimits: loneRateLimits(() => time.now),
			prefixCache: new PrefixCacheIndex(),
			metrics: new EntryMetrics(),
			quarantine: this.quarantine,
			openRequests: new Set(),
			log: this.#logger,
			activity: new LoopActivity(() => time.now),
			now: () => time.now - this.#uncounted,
			timers,
			random,
			gatewayCount: () => links.peersOf(name).length + 1,
		};
		return parts as EntryContext;
	}
}
