/**
The entry gateway process: receives callers' requests and forwards each to targets
of its service. Any number of gateways run side by side, without a leader.
*/
import v8 from 'node:v8';
import type http from 'node:http';
import type {Logger} from 'roarr';
import {createCallerServer} from '../callers/create-caller-server.js';
import {memoryShares} from '../decisions/callers/memory-shares.js';
import {LearnedCapacity} from '../decisions/capacity/learned-capacity.js';
import {PrefixCacheIndex} from '../decisions/entry/caches/prefix-cache-index.js';
import {RateLimit} from '../decisions/entry/requests/rate-limit.js';
import {TargetRegistry} from '../decisions/entry/targets/target-registry.js';
import {TargetHealth} from '../decisions/entry/targets/target-health.js';
import {TargetPauses} from '../decisions/entry/targets/target-pauses.js';
import {createDuties} from '../duties/create-duties.js';
import type {FleetStore} from '../ports/fleet-store.js';
import type {TargetProtocol} from '../ports/target-protocol.js';
import {clock} from '../shared/clock.js';
import {newIdentifier} from '../shared/new-identifier.js';
import {pause} from '../shared/pause.js';
import {systemTimers} from '../shared/system-timers.js';
import {AnswerPacer} from './answer-pacer.js';
import {AttemptSender} from './attempt-sender.js';
import {BufferedBytes} from './buffered-bytes.js';
import type {CallerServer} from './caller-server.js';
import {drainRequests} from './drain-requests.js';
import {EngineCachePollers} from './engine-cache-pollers.js';
import {CrashMonitor} from './crash-monitor.js';
import type {EntryContext} from './entry-context.js';
import {EntryMetrics} from './entry-metrics.js';
import type {EntrySettings} from './entry-settings.js';
import {FleetState} from './fleet-state.js';
import {EventLoopMonitor} from './event-loop-monitor.js';
import {logLoss} from './log-loss.js';
import {LoadTracker} from './load-tracker.js';
import {LoopActivity} from './loop-activity.js';
import {PeerExchange} from './peer-exchange.js';
import {Peers} from './peers.js';
import {PrefillGrants} from './prefill-grants.js';
import {probeAddress} from './probe-address.js';
import {PromptQuarantine} from './prompt-quarantine.js';
import {PromptQueues} from './prompt-queues.js';
import {QuarantineStore} from './quarantine-store.js';
import {recordGauges} from './record-gauges.js';
import {RequestRouter} from './request-router.js';
import {RetryBudgets} from './retry-budgets.js';
import {startOperatorServer} from './start-operator-server.js';
import {startStatusServer} from './status-server.js';
import {TargetConnections} from './target-connections.js';
import {TargetMaintenance} from './target-maintenance.js';
import {TargetRateLimits} from './target-rate-limits.js';
import {TeamFairness} from './team-fairness.js';

type EntryOptions = {
	readonly settings: EntrySettings;
	readonly protocol: TargetProtocol;
	readonly createStore: (settings: EntrySettings) => FleetStore;
	readonly createDutyPorts?: Parameters<typeof createDuties>[0]['createPorts'];
	readonly metricsPort: number | undefined;
	readonly log: Logger;
};

/** How long the platform's load balancer may still open new connections after the readiness check fails. */
const balancerLagMilliseconds = 2600;
/** Time left between the end of the drain and the moment when the platform kills the process. */
const killMarginMilliseconds = 400;
const maintenanceIntervalMilliseconds = 1000;
/** Successful requests per second whose log lines are written. */
const maxLoggedRequestsPerSecond = 10;

/**
One instance runs per process. `start` resolves once the gateway listens; the gateway is
ready once it has a configuration and knows at least one target.

@example
```
const gateway = new EntryGateway({settings, protocol, createStore, metricsPort: 9464, log});
await gateway.start();
```
*/
export class EntryGateway {
	#settings: EntrySettings;
	#isStopping = false;
	/** True once new requests can come only on connections that were busy when the gateway closed its idle ones. */
	#isDraining = false;
	#wasReady = false;
	#maintenanceTimer: NodeJS.Timeout | undefined;
	readonly #incarnation = newIdentifier();
	readonly #options: EntryOptions;
	readonly #log: Logger;
	readonly #retryBudgets = new RetryBudgets(() => this.#settings);
	readonly #context: EntryContext;
	readonly #sender: AttemptSender;
	readonly #queues: PromptQueues;
	readonly #router: RequestRouter;
	readonly #callerServer: CallerServer;
	readonly #servers: http.Server[] = [];
	/** Who may make the process hold how much. */
	readonly #shares: ReturnType<typeof memoryShares>;
	readonly #peers: Peers | undefined;
	readonly #exchange: PeerExchange | undefined;
	readonly #cachePollers: EngineCachePollers;
	readonly #grants: PrefillGrants;
	readonly #knowledge: FleetState;
	readonly #quarantineStore: QuarantineStore;
	readonly #loopMonitor: EventLoopMonitor;
	readonly #targetMaintenance: TargetMaintenance;

	constructor(options: EntryOptions) {
		this.#options = options;
		this.#settings = options.settings;
		this.#shares = memoryShares({...options.settings.resources, heapBytes: v8.getHeapStatistics().heap_size_limit});
		this.#log = options.log;
		this.#context = this.#createContext();
		this.#loopMonitor = new EventLoopMonitor(this.#context);
		this.#targetMaintenance = new TargetMaintenance(this.#context);
		this.#knowledge = new FleetState({
			context: this.#context,
			createStore: options.createStore,
			onConfiguration: configuration => {
				this.#callerServer.setLimits(configuration.limits);
				this.#exchange?.feedDependents();
				this.#exchange?.broadcastNow();
				this.#logReadiness();
			},
			onTargets: changes => {
				this.#onTargets(changes);
			},
		});
		this.#quarantineStore = new QuarantineStore({
			name: this.#settings.name,
			peers: () => this.#peers?.names ?? [],
			store: () => this.#knowledge.store,
			quarantine: this.#context.quarantine,
			log: this.#log,
			metrics: this.#context.metrics,
			timers: systemTimers,
			wallClock: Date.now,
		});
		this.#cachePollers = new EngineCachePollers(this.#context);
		this.#grants = new PrefillGrants({
			context: this.#context,
			peers: () => this.#peers?.members ?? [],
			send: (peer, message) => {
				this.#peers?.send(peer, message);
			},
		});
		this.#queues = new PromptQueues(this.#context, this.#grants, () => {
			this.#exchange?.broadcastSoon();
		});
		this.#sender = new AttemptSender(this.#context, () => {
			this.#queues.processSoon();
		}, this.#shares.targetBytes);
		this.#router = new RequestRouter({
			context: this.#context, inForce: this.#knowledge.inForce, sender: this.#sender, queues: this.#queues, isDraining: () => this.#isDraining, storeReadAt: () => this.#knowledge.storeReadAt,
		});
		this.#callerServer = createCallerServer({
			context: this.#context, router: this.#router, shares: this.#shares, limits: () => this.#knowledge.inForce.current?.limits, isClosing: () => this.#isStopping,
		});
		const {peers: address} = options.settings.listen;
		if (address !== undefined) {
			this.#peers = this.#createPeers(address);
			this.#exchange = this.#createPeerExchange(this.#peers);
		}
	}

	get isReady(): boolean {
		return !this.#isStopping && this.#knowledge.inForce.current !== undefined && this.#context.targetRegistry.all().length > 0;
	}

	async start(): Promise<void> {
		const {settings, protocol, metricsPort} = this.#options;
		this.#log.info({event: 'start', incarnation: this.#incarnation, settings}, 'entry gateway starts');
		this.#servers.push(await startStatusServer(settings.listen.readiness, {
			[`GET ${protocol.readinessPath}`]: () => this.isReady ? {status: 200, text: 'ready'} : {status: 503, text: 'not ready'},
		}));
		if (metricsPort !== undefined) {
			this.#servers.push(await startOperatorServer({host: settings.listen.callers.host, port: metricsPort}, this.#context));
		}

		this.#loopMonitor.start();
		await this.#callerServer.listen(settings.listen.callers);
		this.#peers?.start();
		this.#exchange?.start();
		this.#knowledge.start();
		this.#quarantineStore.start();
		this.#context.duties?.start();
		this.#maintenanceTimer = setInterval(() => {
			this.#context.activity.measure('maintenance', this.#context.targetRegistry.all().length, () => {
				this.#runMaintenance();
			});
		}, maintenanceIntervalMilliseconds);
	}

	/** Applies changed settings. The listen addresses stay as they are until a restart. */
	reload(settings: EntrySettings): void {
		const former = this.#settings;
		this.#settings = settings;
		this.#log.info({event: 'reload', seeds: settings.peerSeeds, store: settings.store.address}, 'settings reloaded');
		if (former.store.address !== settings.store.address) {
			this.#context.targetRegistry.resetPosition();
			this.#knowledge.start();
		}
	}

	/**
	Fails the readiness check at once, and keeps serving while the load balancer may still open
	connections. After that, open requests are finished and new ones are refused as not run: one
	that is accepted late would be cut off at the end of the grace period.
	*/
	async stop(): Promise<void> {
		const stopAt = clock();
		const {graceMilliseconds} = this.#settings.bounds;
		this.#isStopping = true;
		this.#log.info({event: 'stop', open: this.#callerServer.open}, 'entry gateway stops');
		this.#context.duties?.resign();
		await pause(Math.min(balancerLagMilliseconds, graceMilliseconds / 2));
		this.#isDraining = true;
		this.#callerServer.close();
		await drainRequests({server: this.#callerServer, openRequests: this.#context.openRequests, until: stopAt + graceMilliseconds - killMarginMilliseconds});
		clearInterval(this.#maintenanceTimer);
		this.#loopMonitor.stop();
		this.#cachePollers.stop();
		this.#quarantineStore.stop();
		this.#exchange?.stop();
		this.#context.rateLimits.stop();
		await this.#context.duties?.stop();
		this.#peers?.stop();
		this.#context.connections.close();
		this.#log.info({event: 'stopped', open: this.#callerServer.open, milliseconds: Math.round(clock() - stopAt)}, 'entry gateway stopped');
		for (const server of this.#servers) {
			server.close();
		}

		await this.#knowledge.stop();
	}

	#createContext(): EntryContext {
		const {protocol, settings, log} = this.#options;
		const metrics = new EntryMetrics();
		const logRateLimit = new RateLimit(maxLoggedRequestsPerSecond);
		const activity = new LoopActivity(clock);
		const pacer = new AnswerPacer({
			now: clock, timers: systemTimers, metrics, activity,
		});
		return {
			sampling: {
				mayWrite: now => logRateLimit.tryTake(now),
				onOmitted() {
					metrics.count('log.left-out');
				},
			},
			settings: () => this.#settings,
			protocol,
			targetRegistry: new TargetRegistry(settings.bounds.heartbeatMilliseconds),
			loadTracker: new LoadTracker((target, readMilliseconds) => {
				this.#grants.reportPrefillEnd(target, readMilliseconds);
			}),
			fairness: new TeamFairness({metrics, now: clock}),
			prefixCache: new PrefixCacheIndex(),
			health: new TargetHealth(),
			pauses: new TargetPauses(),
			rateLimits: new TargetRateLimits({
				fleet: () => this.#peers?.fleet ?? {own: '', linked: [], unlinked: []},
				gatewayCount: () => this.#context.gatewayCount(),
				send: (peer, message) => {
					this.#peers?.send(peer, message);
				},
				broadcast: message => {
					this.#peers?.broadcast(message);
				},
				onPermits: () => {
					this.#queues.processSoon();
				},
				log,
				metrics,
				now: clock,
				timers: systemTimers,
			}),
			capacity: new LearnedCapacity({waitsForReport: true}),
			connections: new TargetConnections(pacer),
			pacer,
			openRequests: new Set(),
			bufferedAnswers: new BufferedBytes(this.#shares.answerBytes),
			crashMonitor: this.#createCrashMonitor(),
			quarantine: new PromptQuarantine({
				name: settings.name,
				peers: () => this.#peers?.names ?? [],
				onCrash: () => {
					this.#exchange?.broadcastCrashes();
				},
				onChange: () => {
					this.#quarantineStore.save();
				},
				log,
				metrics,
				now: clock,
			}),
			metrics,
			log,
			activity,
			now: clock,
			timers: systemTimers,
			random: Math.random,
			gatewayCount: () => (this.#peers?.names.length ?? 0) + 1,
			service: name => this.#knowledge.service(name),
			retryBudget: service => this.#retryBudgets.of(service),
			duties: createDuties({
				settings: () => this.#settings, incarnation: this.#incarnation, createPorts: this.#options.createDutyPorts, peers: () => this.#peers, log, metrics,
			}),
		};
	}

	#createCrashMonitor(): CrashMonitor {
		return new CrashMonitor({
			probe: probeAddress,
			isUsable: target => this.#context.targetRegistry.isUsable(target),
			onLost: loss => {
				logLoss(this.#context, loss);
				this.#context.quarantine.recordLoss(loss);
			},
			now: clock,
			timers: systemTimers,
		});
	}

	#createPeers(address: {readonly host: string; readonly port: number}): Peers {
		return new Peers({
			name: this.#settings.name,
			incarnation: this.#incarnation,
			availabilityZone: this.#settings.availabilityZone,
			linkMegabits: this.#settings.linkMegabits,
			address,
			seeds: () => this.#settings.peerSeeds,
			onMessage: (peer, message) => {
				this.#exchange?.receive(peer, message);
			},
			onLost: peer => {
				this.#exchange?.removePeer(peer);
			},
			metrics: this.#context.metrics,
			log: this.#log,
			activity: this.#context.activity,
			now: clock,
		});
	}

	#createPeerExchange(peers: Peers): PeerExchange {
		return new PeerExchange({
			context: this.#context,
			peers,
			fleetState: this.#knowledge,
			followedEngines: () => this.#cachePollers.engines,
			grants: this.#grants,
		});
	}

	#onTargets(changes: ReadonlyArray<{readonly kind: string}>): void {
		if (changes.length > 0) {
			this.#exchange?.feedDependents();
		}

		if (changes.some(({kind}) => kind === 'leaving')) {
			this.#exchange?.broadcastNow();
		}

		this.#logReadiness();
	}

	#logReadiness(): void {
		if (this.isReady && !this.#wasReady) {
			this.#wasReady = true;
			this.#log.info({event: 'ready', version: this.#knowledge.inForce.version, targets: this.#context.targetRegistry.all().length}, 'ready');
		}
	}

	/** Drops the state of targets that are gone, and updates pollers and gauges. */
	#runMaintenance(): void {
		const {targetRegistry, crashMonitor, quarantine} = this.#context;
		const records = targetRegistry.all();
		this.#knowledge.updateFeed(this.#peers?.members ?? []);
		this.#cachePollers.update(records, this.#settings, this.#peers?.members ?? []);
		this.#targetMaintenance.run(records);
		crashMonitor.forgetOld();
		quarantine.maintain();
		this.#quarantineStore.recordEra(this.#knowledge.era);
		this.#callerServer.maintain();
		recordGauges(this.#context, {
			open: this.#callerServer.open, waiting: this.#queues.waitingCount, peers: this.#peers?.names.length ?? 0, largestHolding: this.#sender.largestHolding,
		});
	}
}
