/**
An entry gateway: takes callers' requests at the door and brings each to targets
of its service. Any number run side by side; none leads.
*/
import http from 'node:http';
import type {Logger} from 'roarr';
import {PrefixCacheIndex} from '../decisions/entry/prefix-cache-index.js';
import {RateLimit} from '../decisions/entry/rate-limit.js';
import {WindowedRetryBudget} from '../decisions/entry/windowed-retry-budget.js';
import {TargetRegistry} from '../decisions/entry/target-registry.js';
import {TargetHealth} from '../decisions/entry/target-health.js';
import {resultCode} from '../generated/result-codes.js';
import type {FleetStore} from '../ports/fleet-store.js';
import type {TargetProtocol} from '../ports/target-protocol.js';
import {clock} from '../shared/clock.js';
import {newIdentifier} from '../shared/new-identifier.js';
import {pause} from '../shared/pause.js';
import {systemTimers} from '../shared/system-timers.js';
import {AttemptSender} from './attempt-sender.js';
import {CallerDoor} from './caller-door.js';
import {EngineFollowers} from './engine-followers.js';
import type {EntryContext} from './entry-context.js';
import {EntryMetrics} from './entry-metrics.js';
import type {EntrySettings} from './entry-settings.js';
import {FleetState} from './fleet-state.js';
import {LoadBook} from './load-book.js';
import {PeerExchange} from './peer-exchange.js';
import {Peers} from './peers.js';
import {ReadGrants} from './read-grants.js';
import {PromptQueues} from './prompt-queues.js';
import {RequestRouter} from './request-router.js';
import {TargetConnections} from './target-connections.js';

type EntryOptions = {
	readonly settings: EntrySettings;
	readonly protocol: TargetProtocol;
	readonly createStore: (settings: EntrySettings) => FleetStore;
	readonly metricsPort: number | undefined;
	readonly log: Logger;
};

const refusalCodes = {
	improper: resultCode.malformedRequest, 'header too large': resultCode.headerTooLarge, 'body too large': resultCode.requestTooLarge,
} as const;

/** How long the platform's balancer may still send new connections after readiness fails. */
const balancerLagMilliseconds = 2600;
const drainCheckMilliseconds = 50;
/** Time kept before the platform kills the process. */
const graceMarginMilliseconds = 400;
const sweepMilliseconds = 1000;
/** Requests that went well of which a second's log tells the course. */
const loggedEachSecond = 10;

/**
One process. `start` resolves once it listens; it is ready once it knows a
configuration and targets.

@example
```
const gateway = new EntryGateway({settings, protocol, createStore, metricsPort: 9464, log});
await gateway.start();
```
*/
export class EntryGateway {
	#settings: EntrySettings;
	#isStopping = false;
	#wasReady = false;
	#sweep: NodeJS.Timeout | undefined;
	readonly #incarnation = newIdentifier();
	readonly #options: EntryOptions;
	readonly #log: Logger;
	readonly #retries = new Map<string, WindowedRetryBudget>();
	readonly #context: EntryContext;
	readonly #sender: AttemptSender;
	readonly #queues: PromptQueues;
	readonly #router: RequestRouter;
	readonly #door: CallerDoor;
	readonly #servers: http.Server[] = [];
	readonly #peers: Peers | undefined;
	readonly #exchange: PeerExchange | undefined;
	readonly #followers: EngineFollowers;
	readonly #grants: ReadGrants;
	readonly #knowledge: FleetState;

	constructor(options: EntryOptions) {
		this.#options = options;
		this.#settings = options.settings;
		this.#log = options.log;
		this.#context = this.#createContext();
		this.#knowledge = new FleetState({
			context: this.#context,
			createStore: options.createStore,
			onConfiguration: configuration => {
				this.#door.setLimits(configuration.limits);
				this.#exchange?.feedDependents();
				this.#exchange?.broadcastNow();
				this.#tellReadiness();
			},
			onTargets: changes => {
				this.#onTargets(changes);
			},
		});
		this.#followers = new EngineFollowers(this.#context);
		this.#grants = new ReadGrants({
			context: this.#context,
			peers: () => this.#peers?.names ?? [],
			send: (peer, message) => {
				this.#peers?.send(peer, message);
			},
		});
		this.#queues = new PromptQueues(this.#context, this.#grants, () => {
			this.#exchange?.broadcastSoon();
		});
		this.#sender = new AttemptSender(this.#context, () => {
			this.#queues.lookSoon();
		});
		this.#router = new RequestRouter({
			context: this.#context, inForce: this.#knowledge.inForce, sender: this.#sender, queues: this.#queues, storeReadAt: () => this.#knowledge.storeReadAt,
		});
		this.#door = this.#createDoor();
		const {peers: address} = options.settings.listen;
		if (address !== undefined) {
			this.#peers = this.#createPeers(address);
			this.#exchange = this.#createExchange(this.#peers);
		}
	}

	get isReady(): boolean {
		return !this.#isStopping && this.#knowledge.inForce.current !== undefined && this.#context.beliefs.all().length > 0;
	}

	async start(): Promise<void> {
		const {settings, protocol, metricsPort} = this.#options;
		this.#log.info({event: 'start', incarnation: this.#incarnation, settings}, 'entry gateway starts');
		await this.#serve(settings.listen.readiness, protocol.readinessPath, () => this.isReady ? {status: 200, text: 'ready'} : {status: 503, text: 'not ready'});
		if (metricsPort !== undefined) {
			await this.#serve({host: settings.listen.callers.host, port: metricsPort}, '/metrics', () => ({status: 200, text: this.#context.metrics.render()}));
		}

		await this.#door.listen(settings.listen.callers);
		this.#peers?.start();
		this.#exchange?.start();
		this.#knowledge.start();
		this.#sweep = setInterval(() => {
			this.#clean();
		}, sweepMilliseconds);
	}

	/** Takes changed settings; addresses that are already listened on stay. */
	reload(settings: EntrySettings): void {
		const former = this.#settings;
		this.#settings = settings;
		this.#log.info({event: 'reload', seeds: settings.peerSeeds, store: settings.store.address}, 'settings reloaded');
		if (former.store.address !== settings.store.address) {
			this.#context.beliefs.resetRevision();
			this.#knowledge.start();
		}
	}

	/** Fails readiness at once, serves on through the balancer's lag, then ends when no request is open. */
	async stop(): Promise<void> {
		const stopAt = clock();
		const {graceMilliseconds} = this.#settings.bounds;
		this.#isStopping = true;
		this.#log.info({event: 'stop', open: this.#door.open}, 'entry gateway stops');
		await pause(Math.min(balancerLagMilliseconds, graceMilliseconds / 2));
		this.#door.close();
		await this.#drained(stopAt + graceMilliseconds - graceMarginMilliseconds);
		clearInterval(this.#sweep);
		this.#followers.stop();
		this.#exchange?.stop();
		this.#peers?.stop();
		this.#context.connections.close();
		this.#log.info({event: 'stopped', open: this.#door.open, milliseconds: Math.round(clock() - stopAt)}, 'entry gateway stopped');
		for (const server of this.#servers) {
			server.close();
		}

		await this.#knowledge.stop();
	}

	#createContext(): EntryContext {
		const {protocol, settings, log} = this.#options;
		const metrics = new EntryMetrics(settings.name);
		const written = new RateLimit(loggedEachSecond);
		return {
			sampling: {
				mayWrite: now => written.tryTake(now),
				onLeftOut() {
					metrics.count('log.left-out');
				},
			},
			settings: () => this.#settings,
			protocol,
			beliefs: new TargetRegistry(settings.bounds.heartbeatMilliseconds),
			book: new LoadBook((target, readMilliseconds) => {
				this.#grants.read(target, readMilliseconds);
			}),
			kept: new PrefixCacheIndex(),
			health: new TargetHealth(),
			connections: new TargetConnections(),
			metrics,
			log,
			now: clock,
			timers: systemTimers,
			random: Math.random,
			gateways: () => (this.#peers?.names.length ?? 0) + 1,
			service: name => this.#knowledge.service(name),
			retries: service => this.#retriesOf(service),
		};
	}

	#retriesOf(service: string): WindowedRetryBudget {
		const {bounds: {retryShare, retryWindowMilliseconds, retryExtra}, isFirstStart} = this.#settings;
		const window = this.#retries.get(service) ?? new WindowedRetryBudget({
			share: retryShare, windowMilliseconds: retryWindowMilliseconds, extra: retryExtra, isFirstStart,
		});
		this.#retries.set(service, window);
		return window;
	}

	#createDoor(): CallerDoor {
		return new CallerDoor({
			limits: () => this.#knowledge.inForce.current?.limits,
			isClosing: () => this.#isStopping,
			onRequest: (request, body, answer, startedAt) => {
				this.#router.route(request, body, answer, startedAt);
			},
			onRefused: (request, answer, reason) => {
				const code = refusalCodes[reason];
				this.#context.metrics.count(`request.refused.${code}`);
				this.#log.info({event: 'request refused', reason, bytes: request.rawHeaders.length}, 'request refused at the door');
				answer.sendError(code, {});
			},
			now: clock,
		});
	}

	#createPeers(address: {readonly host: string; readonly port: number}): Peers {
		return new Peers({
			name: this.#settings.name,
			incarnation: this.#incarnation,
			linkMegabits: this.#settings.linkMegabits,
			address,
			seeds: () => this.#settings.peerSeeds,
			onMessage: (peer, message) => {
				this.#exchange?.receive(peer, message);
			},
			onLost: peer => {
				this.#exchange?.removePeer(peer);
			},
			log: this.#log,
			now: clock,
		});
	}

	#createExchange(peers: Peers): PeerExchange {
		return new PeerExchange({
			context: this.#context,
			peers,
			fleetState: this.#knowledge,
			followedEngines: () => this.#followers.engines,
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

		this.#tellReadiness();
	}

	#tellReadiness(): void {
		if (this.isReady && !this.#wasReady) {
			this.#wasReady = true;
			this.#log.info({event: 'ready', version: this.#knowledge.inForce.version, targets: this.#context.beliefs.all().length}, 'ready');
		}
	}

	async #serve(address: {readonly host: string; readonly port: number}, path: string, answer: () => {readonly status: number; readonly text: string}): Promise<void> {
		const server = http.createServer((request, response) => {
			const {status, text} = request.url === path ? answer() : {status: 404, text: 'not found'};
			response.writeHead(status, {'content-type': 'text/plain'});
			response.end(text);
		});
		this.#servers.push(server);
		await new Promise<void>((resolve, reject) => {
			server.once('error', reject);
			server.listen(address, resolve);
		});
	}

	async #drained(until: number): Promise<void> {
		while (this.#door.open > 0 && clock() < until) {
			await pause(drainCheckMilliseconds); // eslint-disable-line no-await-in-loop
		}
	}

	/** Forgets what belongs to targets that are gone. */
	#clean(): void {
		const {beliefs, kept, health, connections, metrics} = this.#context;
		const records = beliefs.all();
		const incarnations = new Set(records.map(record => record.incarnation));
		for (const target of health.takeSilent(clock())) {
			metrics.count('target.silent');
			this.#log.warn({event: 'target avoided', target, reason: 'silent'}, 'target avoided while it says nothing');
		}

		this.#knowledge.updateFeed(this.#peers?.members ?? []);
		this.#followers.update(records, this.#settings.name, this.#peers?.names ?? []);
		kept.retainOnly(incarnations);
		health.keepOnly(incarnations);
		connections.keepOnly(new Set(records.map(({address}) => address)));
		metrics.gauge('requests.open', this.#door.open);
		metrics.gauge('requests.waiting', this.#queues.waiting);
		metrics.gauge('peers', this.#peers?.names.length ?? 0);
		metrics.gauge('connections.opened', connections.opened());
	}
}
