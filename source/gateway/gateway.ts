/**
One gateway process: fronts callers, routes, retries, and may lead services.
*/
import type {FastifyInstance} from 'fastify';
import {ConfigurationKeeper} from '../configuration/configuration-keeper.js';
import {ConfigurationWatcher} from '../configuration/configuration-watcher.js';
import {isWatcher} from '../decisions/configuration/is-watcher.js';
import {warmTargets} from '../decisions/links/warm-targets.js';
import {RetryBudget} from '../decisions/request/retry-budget.js';
import {TargetDirectory} from '../decisions/routing/target-directory.js';
import type {ServiceConfiguration} from '../generated/configuration.js';
import type {GatewaySettings} from '../generated/gateway-settings.js';
import type {Message} from '../generated/messages.js';
import {ServiceLeader} from '../leading/service-leader.js';
import {EtcdKeyValueService} from '../platform/etcd-key-value-service.js';
import type {ListedVm} from '../platform/listed-vm.js';
import {VmList} from '../platform/vm-list.js';
import {clock} from '../shared/clock.js';
import {describeCode} from '../shared/describe-code.js';
import {logger} from '../shared/logger.js';
import {Metrics} from '../shared/metrics.js';
import {newIdentifier} from '../shared/new-identifier.js';
import {parseAddress} from '../shared/parse-address.js';
import {pause} from '../shared/pause.js';
import type {CallerSink} from './caller-sink.js';
import {createCallerServer} from './caller-server.js';
import type {GatewayRequest} from './gateway-request.js';
import type {GatewayStatus} from './gateway-status.js';
import {IdempotencyClaims} from './idempotency-claims.js';
import {createOperatorServer} from './operator-server.js';
import {RequestRunner} from './request-runner.js';
import {ServiceCatalogue} from './service-catalogue.js';
import {TargetLinks} from './target-links.js';

const vmListMilliseconds = 1000;
const exchangeMilliseconds = 2000;
const leadMilliseconds = 500;
const drainCheckMilliseconds = 50;
const defaultRetryShare = 0.2;
const claimRetryMilliseconds = 1000;
const defaultBalancerLagMilliseconds = 3000;
const defaultLongestDrainMilliseconds = 600_000;

const log = logger.child({module: 'gateway'});

/**
A gateway from its settings.

@example
```
const gateway = new Gateway(settings);
await gateway.start();
await gateway.stop(); // graceful: cuts off no request
```
*/
export class Gateway {
	readonly incarnation = newIdentifier();
	readonly metrics: Metrics;
	readonly directory = new TargetDirectory();
	readonly store: EtcdKeyValueService;
	readonly keeper: ConfigurationKeeper;
	readonly links: TargetLinks;
	catalogue: ServiceCatalogue | undefined;
	readonly #claims: IdempotencyClaims;
	readonly #watcher: ConfigurationWatcher;
	readonly #vmList: VmList;
	readonly #budgets = new Map<string, RetryBudget>();
	readonly #server: FastifyInstance;
	readonly #operatorServer: FastifyInstance;
	readonly #leaders = new Map<string, ServiceLeader>();
	#versions: ReadonlyMap<string, string> = new Map();
	#timers: readonly NodeJS.Timeout[] = [];
	#vms: readonly ListedVm[] = [];
	#gossipTargets: ReadonlySet<string> = new Set();
	#live = 0;
	#phase: 'serving' | 'leaving' | 'refusing' = 'serving';

	constructor(readonly settings: GatewaySettings) {
		this.metrics = new Metrics(settings.metrics, settings.name);
		this.store = new EtcdKeyValueService(settings.platform.keyValueService);
		this.keeper = new ConfigurationKeeper(this.metrics, document => {
			this.catalogue = new ServiceCatalogue(document);
			for (const service of document.services) {
				this.#budget(service.name).setShare(service.retryShare ?? defaultRetryShare);
			}

			this.#versions = new Map((document.models ?? []).map(({name, version}) => [name, version]));
			this.#updateLeaders();
		});
		this.links = new TargetLinks({
			process: settings.name,
			incarnation: this.incarnation,
			keeper: this.keeper,
			metrics: this.metrics,
			directory: this.directory,
			onControl: (target, message) => {
				this.#receiveControl(target, message);
			},
		});
		this.#claims = new IdempotencyClaims(this.store, this.metrics);
		this.#watcher = new ConfigurationWatcher(this.store, this.keeper);
		this.#vmList = new VmList(settings.platform.vmList);
		this.#server = createCallerServer({
			catalogue: () => this.catalogue,
			isStopping: () => this.#phase === 'refusing',
			run: (request, sink) => this.#run(request, sink),
			onRefused: code => {
				this.metrics.count(`request.ended.${code}`);
			},
		});
		this.#operatorServer = createOperatorServer({status: () => this.status, keeper: this.keeper, store: this.store});
	}

	get status(): GatewayStatus {
		const {name, availabilityZone} = this.settings;
		const leading = [...this.#leaders].filter(([, leader]) => leader.isLeading);
		return {
			name,
			availabilityZone,
			incarnation: this.incarnation,
			ready: this.isReady,
			generation: this.keeper.generation,
			liveRequests: this.#live,
			openLinks: this.links.openCount,
			storeCalls: this.store.calls,
			pendingClaims: this.#claims.pending,
			leading: leading.map(([service, leader]) => ({service, fencingNumber: leader.fencingNumber, orders: Object.fromEntries(leader.orders)})),
			targets: this.directory.all,
			sidecarGenerations: this.links.generations,
			counts: Object.fromEntries(this.metrics.counts),
		};
	}

	/** True once a configuration is in force and the VM list has been read, until a stop begins. */
	get isReady(): boolean {
		return this.#phase === 'serving' && this.catalogue !== undefined && this.#vms.length > 0;
	}

	/** Requests without a final answer yet. */
	get liveRequests(): number {
		return this.#live;
	}

	async start(): Promise<void> {
		this.#watcher.start();
		await this.#readVmList();
		this.#timers = [
			setInterval(() => {
				void this.#readVmList();
			}, vmListMilliseconds),
			setInterval(() => {
				this.keeper.exchange(Math.random);
			}, exchangeMilliseconds),
			setInterval(() => {
				this.#lead();
			}, leadMilliseconds),
		];
		await this.#operatorServer.listen(parseAddress(this.settings.listen.operators));
		await this.#server.listen(parseAddress(this.settings.listen.callers));
		log.info({name: this.settings.name, listen: this.settings.listen}, 'gateway started');
	}

	/** Fails readiness, serves through the balancer's lag, then refuses new work and ends when the last answer is given. */
	async stop(): Promise<void> {
		const {balancerLagMilliseconds = defaultBalancerLagMilliseconds, longestDrainMilliseconds = defaultLongestDrainMilliseconds} = this.settings.stopping ?? {};
		this.#phase = 'leaving';
		for (const leader of this.#leaders.values()) {
			leader.resign();
		}

		log.info({liveRequests: this.#live}, 'gateway leaving');
		await pause(balancerLagMilliseconds);
		this.#phase = 'refusing';
		const giveUpAt = clock() + longestDrainMilliseconds;
		while (this.#live > 0 && clock() < giveUpAt) {
			await pause(drainCheckMilliseconds); // eslint-disable-line no-await-in-loop
		}

		for (const timer of this.#timers) {
			clearInterval(timer);
		}

		this.#watcher.stop();
		this.#claims.close();
		this.links.closeAll();
		await Promise.all([this.#server.close(), this.#operatorServer.close()]);
		await Promise.all([this.store.close(), this.#vmList.close()]);
		this.metrics.close();
		log.info({}, 'gateway stopped');
	}

	/** One leader for each model service of the configuration in force. */
	#updateLeaders(): void {
		const services = this.catalogue?.services.filter(({kind}) => kind === 'model') ?? [];
		for (const [name, leader] of this.#leaders) {
			if (!services.some(service => service.name === name)) {
				leader.resign();
				this.#leaders.delete(name);
			}
		}

		for (const service of services.filter(({name}) => !this.#leaders.has(name))) {
			this.#leaders.set(service.name, this.#createLeader(service));
		}
	}

	#createLeader(service: ServiceConfiguration): ServiceLeader {
		const current = (): ServiceConfiguration => this.catalogue?.byName(service.name) ?? service;
		return new ServiceLeader({
			gateway: this.settings.name,
			service: current,
			version: () => this.#versions.get(current().model ?? '') ?? '',
			gateways: () => this.#gateways(),
			ledServices: () => [...this.#leaders.values()].filter(({isLeading}) => isLeading).length,
			store: this.store,
			directory: this.directory,
			link: target => {
				const link = this.links.get(target);
				return {incarnation: link?.peerIncarnation, send: message => link?.send(message) ?? false};
			},
			metrics: this.metrics,
		});
	}

	#lead(): void {
		if (this.#phase !== 'serving') {
			return;
		}

		for (const leader of this.#leaders.values()) {
			leader.tick();
		}

		this.#keepLinksWarm();
	}

	#receiveControl(target: string, message: Message): void {
		if (message.kind === 'fence raised' || message.kind === 'order result') {
			this.#leaders.get(this.directory.get(target)?.service ?? '')?.receive(target, message);
		}
	}

	#gateways(): readonly string[] {
		return this.#vms.filter(({kind, state}) => kind === 'entry' && state === 'live').map(({name}) => name);
	}

	/** Links that stay open without work: this gateway's share for gossip, and all targets that it leads. */
	#keepLinksWarm(): void {
		const led = [...this.#leaders.values()].flatMap(leader => leader.targetsToReach);
		this.links.keepWarm(new Set([...this.#gossipTargets, ...led]));
	}

	#budget(service: string): RetryBudget {
		const known = this.#budgets.get(service) ?? new RetryBudget(defaultRetryShare);
		this.#budgets.set(service, known);
		return known;
	}

	#run(request: GatewayRequest, sink: CallerSink): () => void {
		this.#live += 1;
		if (!request.repeatable && request.idempotencyKey !== '') {
			void this.#runClaimed(request, sink);
			// A claimed call runs to its end, so that its outcome can be recorded.
			return () => undefined;
		}

		const runner = this.#createRunner(request, sink, () => {
			this.#live -= 1;
		});
		runner.start();
		return () => {
			runner.callerGone();
		};
	}

	async #runClaimed(request: GatewayRequest, sink: CallerSink): Promise<void> {
		const startedAt = clock();
		const claim = await this.#claims.claim(request);
		const deadlineMilliseconds = request.deadlineMilliseconds - (clock() - startedAt);
		if (claim.isErr()) {
			this.#live -= 1;
			if (describeCode(claim.error).outcome === 'not run') {
				sink.refuse(claim.error, claimRetryMilliseconds);
			} else {
				sink.fail(claim.error);
			}

			return;
		}

		let outcome: 'ran' | 'not run' | 'unknown' = 'unknown';
		this.#createRunner({...request, deadlineMilliseconds}, {
			write(text) {
				sink.write(text);
			},
			complete(...end) {
				outcome = 'ran';
				sink.complete(...end);
			},
			refuse(...refusal) {
				outcome = 'not run';
				sink.refuse(...refusal);
			},
			fail(code) {
				outcome = describeCode(code).outcome;
				sink.fail(code);
			},
		}, () => {
			void this.#settle(claim.value, outcome);
		}).start();
	}

	async #settle(claim: Parameters<IdempotencyClaims['settle']>[0], outcome: 'ran' | 'not run' | 'unknown'): Promise<void> {
		await this.#claims.settle(claim, outcome);
		this.#live -= 1;
	}

	#createRunner(request: GatewayRequest, sink: CallerSink, onDone: () => void): RequestRunner {
		return new RequestRunner(request, sink, {
			gateway: this.settings.name,
			availabilityZone: this.settings.availabilityZone,
			links: this.links,
			directory: this.directory,
			budget: this.#budget(request.service),
			metrics: this.metrics,
			onDone,
		});
	}

	async #readVmList(): Promise<void> {
		const read = await this.#vmList.read();
		if (read.isErr()) {
			this.metrics.count('vm-list.failed');
			return;
		}

		if (read.value._tag === 'Some') {
			this.#follow(read.value.value);
		}
	}

	/** Takes a changed VM list: the list alone may add and forget targets; a sidecar's own word of leaving stands beside it. */
	#follow(vms: readonly ListedVm[]): void {
		this.#vms = vms;
		const targets = vms.filter(({kind}) => kind === 'target');
		const gateways = this.#gateways();
		const listed = new Set(targets.map(({name}) => name));
		for (const {name} of this.directory.all.filter(view => !listed.has(view.name))) {
			this.directory.forget(name);
		}

		for (const vm of targets) {
			this.directory.learn(vm);
			this.directory.setListedLeaving(vm.name, vm.state === 'leaving');
		}

		this.links.update(targets);
		this.#gossipTargets = warmTargets(this.settings.name, gateways, targets.map(({name}) => name));
		this.#keepLinksWarm();
		this.#watcher.setWatching(isWatcher(this.settings.name, gateways));
	}
}
