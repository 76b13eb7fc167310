/**
Process of one gateway: serves callers and operators, routes and retries requests, and can lead services.
*/
import type {FastifyInstance} from 'fastify';
import * as option from 'fp-ts/lib/Option.js';
import {ConfigurationReplica} from '../configuration/configuration-replica.js';
import {ConfigurationWatcher} from '../configuration/configuration-watcher.js';
import {watchesConfiguration} from '../decisions/configuration/watches-configuration.js';
import {persistentLinkTargets} from '../decisions/links/persistent-link-targets.js';
import {TargetDirectory} from '../decisions/routing/target-directory.js';
import type {Configuration} from '../generated/configuration.js';
import type {GatewaySettings} from '../generated/gateway-settings.js';
import {EtcdKeyValueService} from '../ports/etcd-key-value-service.js';
import type {ListedVm} from '../ports/listed-vm.js';
import {VmListClient} from '../ports/vm-list-client.js';
import {clock} from '../shared/clock.js';
import {logger} from '../shared/logger.js';
import {Metrics} from '../shared/metrics.js';
import {newIdentifier} from '../shared/new-identifier.js';
import {parseAddress} from '../shared/parse-address.js';
import {pause} from '../shared/pause.js';
import {createCallerServer} from './caller-server.js';
import type {GatewayStatus} from './gateway-status.js';
import {createOperatorServer} from './operator-server.js';
import {RequestDispatcher} from './request-dispatcher.js';
import {ServiceCatalogue} from './service-catalogue.js';
import {ServiceLeaders} from './service-leaders.js';
import {TargetLinks} from './target-links.js';

const vmListIntervalMilliseconds = 1000;
/** Interval at which the generation in force is exchanged with a random peer. */
const exchangeIntervalMilliseconds = 2000;
const leaderTickIntervalMilliseconds = 500;
const drainCheckIntervalMilliseconds = 50;
/** How long new requests are still served after readiness fails. */
const defaultBalancerLagMilliseconds = 3000;
const defaultLongestDrainMilliseconds = 600_000;

const log = logger.child({module: 'gateway'});

/**
Gateway that is built from its settings.

@example
```
const gateway = new Gateway(settings);
await gateway.start();
await gateway.stop(); // Graceful: waits for live requests.
```
*/
export class Gateway {
	readonly #incarnation = newIdentifier();
	readonly #metrics: Metrics;
	readonly #store: EtcdKeyValueService;
	readonly #vmList: VmListClient;
	readonly #directory = new TargetDirectory();
	readonly #configurationReplica: ConfigurationReplica;
	readonly #watcher: ConfigurationWatcher;
	readonly #links: TargetLinks;
	readonly #leaders: ServiceLeaders;
	readonly #dispatcher: RequestDispatcher;
	readonly #callerServer: FastifyInstance;
	readonly #operatorServer: FastifyInstance;
	#catalogue: ServiceCatalogue | undefined;
	#vms: readonly ListedVm[] = [];
	#persistentTargets: ReadonlySet<string> = new Set();
	#timers: readonly NodeJS.Timeout[] = [];
	#phase: 'serving' | 'leaving' | 'refusing' = 'serving';

	constructor(readonly settings: GatewaySettings) {
		const {name, availabilityZone, metrics, platform} = settings;
		this.#metrics = new Metrics(metrics, name);
		this.#store = new EtcdKeyValueService(platform.keyValueService);
		this.#vmList = new VmListClient(platform.vmList);
		this.#configurationReplica = new ConfigurationReplica(this.#metrics, document => {
			this.#configure(document);
		});
		this.#watcher = new ConfigurationWatcher(this.#store, this.#configurationReplica);
		this.#links = new TargetLinks({
			process: name,
			incarnation: this.#incarnation,
			configurationReplica: this.#configurationReplica,
			metrics: this.#metrics,
			directory: this.#directory,
			onControl: (target, message) => {
				this.#leaders.receive(target, message);
			},
		});
		const shared = {
			gateway: name, store: this.#store, directory: this.#directory, links: this.#links, metrics: this.#metrics,
		};
		this.#leaders = new ServiceLeaders({...shared, gateways: () => this.#liveGatewayNames()});
		this.#dispatcher = new RequestDispatcher({...shared, availabilityZone});
		this.#callerServer = createCallerServer({
			catalogue: () => this.#catalogue,
			isStopping: () => this.#phase === 'refusing',
			run: (request, sink) => this.#dispatcher.run(request, sink),
			onRefused: code => {
				this.#metrics.count(`request.ended.${code}`);
			},
		});
		this.#operatorServer = createOperatorServer({status: () => this.status, configurationReplica: this.#configurationReplica, store: this.#store});
	}

	/** True once a configuration is in force and the VM list has been read, until a stop begins. */
	get isReady(): boolean {
		return this.#phase === 'serving' && this.#catalogue !== undefined && this.#vms.length > 0;
	}

	/** State of this process, and its view of targets and sidecars, for operators. */
	get status(): GatewayStatus {
		const {name, availabilityZone} = this.settings;
		return {
			name,
			availabilityZone,
			incarnation: this.#incarnation,
			ready: this.isReady,
			generation: this.#configurationReplica.generation,
			liveRequests: this.#dispatcher.liveRequests,
			openLinks: this.#links.openCount,
			storeCalls: this.#store.calls,
			pendingClaims: this.#dispatcher.pendingClaims,
			leading: this.#leaders.ledServices,
			targets: this.#directory.all,
			sidecarGenerations: this.#links.generations,
			counts: Object.fromEntries(this.#metrics.counts),
		};
	}

	async start(): Promise<void> {
		const {listen, name} = this.settings;
		this.#watcher.start();
		await this.#readVmList();
		this.#timers = [
			setInterval(() => {
				void this.#readVmList();
			}, vmListIntervalMilliseconds),
			setInterval(() => {
				this.#configurationReplica.exchange(Math.random);
			}, exchangeIntervalMilliseconds),
			setInterval(() => {
				this.#tickLeaders();
			}, leaderTickIntervalMilliseconds),
		];
		await this.#operatorServer.listen(parseAddress(listen.operators));
		await this.#callerServer.listen(parseAddress(listen.callers));
		log.info({name, listen}, 'gateway started');
	}

	/**
	Shuts down gracefully. Readiness fails first, while requests are still served, as a load balancer
	needs some time to notice. Then new requests are refused, and the process closes when no live
	request is left or the longest drain time has passed.
	*/
	async stop(): Promise<void> {
		const {balancerLagMilliseconds = defaultBalancerLagMilliseconds, longestDrainMilliseconds = defaultLongestDrainMilliseconds} = this.settings.stopping ?? {};
		this.#phase = 'leaving';
		this.#leaders.resign();
		log.info({liveRequests: this.#dispatcher.liveRequests}, 'gateway leaving');
		await pause(balancerLagMilliseconds);
		this.#phase = 'refusing';
		const giveUpAt = clock() + longestDrainMilliseconds;
		while (this.#dispatcher.liveRequests > 0 && clock() < giveUpAt) {
			await pause(drainCheckIntervalMilliseconds); // eslint-disable-line no-await-in-loop
		}

		await this.#close();
		log.info({}, 'gateway stopped');
	}

	async #close(): Promise<void> {
		for (const timer of this.#timers) {
			clearInterval(timer);
		}

		this.#watcher.stop();
		this.#dispatcher.close();
		this.#links.closeAll();
		await Promise.all([this.#callerServer.close(), this.#operatorServer.close()]);
		await Promise.all([this.#store.close(), this.#vmList.close()]);
		this.#metrics.close();
	}

	#configure(document: Configuration): void {
		this.#catalogue = new ServiceCatalogue(document);
		this.#dispatcher.configure(document.services);
		this.#leaders.update(this.#catalogue, new Map((document.models ?? []).map(({name, version}) => [name, version])));
	}

	#tickLeaders(): void {
		if (this.#phase === 'serving') {
			this.#leaders.tick();
			this.#updatePersistentLinks();
		}
	}

	#liveGatewayNames(): readonly string[] {
		return this.#vms.filter(({kind, state}) => kind === 'entry' && state === 'live').map(({name}) => name);
	}

	/** Sets which links stay open without work: to this gateway's assigned targets, for configuration gossip, and to the targets that it leads. */
	#updatePersistentLinks(): void {
		this.#links.setPersistent(new Set([...this.#persistentTargets, ...this.#leaders.targetsToReach]));
	}

	async #readVmList(): Promise<void> {
		const read = await this.#vmList.read();
		if (read.isErr()) {
			this.#metrics.count('vm-list.failed');
			return;
		}

		if (option.isSome(read.value)) {
			this.#applyVmList(read.value.value);
		}
	}

	/** Applies a changed VM list. Only the list adds and removes targets; a target can be leaving by the list or by its sidecar's report. */
	#applyVmList(vms: readonly ListedVm[]): void {
		this.#vms = vms;
		const targets = vms.filter(({kind}) => kind === 'target');
		const listed = new Set(targets.map(({name}) => name));
		for (const {name} of this.#directory.all.filter(view => !listed.has(view.name))) {
			this.#directory.remove(name);
		}

		for (const vm of targets) {
			this.#directory.upsert(vm);
			this.#directory.setListedLeaving(vm.name, vm.state === 'leaving');
		}

		const liveGatewayNames = this.#liveGatewayNames();
		this.#links.update(targets);
		this.#persistentTargets = persistentLinkTargets(this.settings.name, liveGatewayNames, targets.map(({name}) => name));
		this.#updatePersistentLinks();
		this.#watcher.setWatching(watchesConfiguration(this.settings.name, liveGatewayNames));
	}
}
