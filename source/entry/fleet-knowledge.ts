/**
What a gateway knows of configuration and targets, from the store and from peers.
*/
import {ConfigurationInForce} from '../decisions/entry/configuration-in-force.js';
import {StoreFeed} from '../decisions/entry/store-feed.js';
import type {TargetRegistry} from '../decisions/entry/target-registry.js';
import type {FleetConfiguration} from '../fleet/fleet-configuration.js';
import type {ServiceDescription} from '../fleet/service-description.js';
import type {TargetList} from '../fleet/target-list.js';
import type {FleetStore} from '../ports/fleet-store.js';
import type {EntryContext} from './entry-context.js';
import type {EntrySettings} from './entry-settings.js';
import {listFacts} from './list-facts.js';
import {StoreReader} from './store-reader.js';

type Changes = ReturnType<TargetRegistry['adopt']>;

type KnowledgeOptions = {
	readonly context: EntryContext;
	readonly createStore: (settings: EntrySettings) => FleetStore;
	/** Called once a newer configuration is in force. */
	readonly onConfiguration: (configuration: FleetConfiguration) => void;
	/** Called after each list of targets, with what it changed. */
	readonly onTargets: (changes: Changes) => void;
};

const mostLoggedAge = 3_600_000;

/**
Adopts what the store and peers say, and logs each change of belief.

Invariant: the configuration in force never goes back.

@example
```
knowledge.start();
knowledge.adoptTargets({revision, targets}, readAt, 'peer', 'gateway-2');
```
*/
export class FleetKnowledge {
	readonly inForce = new ConfigurationInForce();
	readonly feed: StoreFeed;
	#configurationReadAt = Number.NEGATIVE_INFINITY;
	#targetsReadAt = Number.NEGATIVE_INFINITY;
	#hasStore = false;
	#wasFed = false;
	#kept = 0;
	#reader: StoreReader | undefined;
	#store: FleetStore | undefined;
	readonly #options: KnowledgeOptions;
	readonly #services = new Map<string, ServiceDescription>();

	constructor(options: KnowledgeOptions) {
		this.#options = options;
		const {name, linkMegabits} = options.context.settings();
		this.feed = new StoreFeed({name, linkMegabits});
	}

	/** When both configuration and targets were last read from the store by this gateway. */
	get storeReadAt(): number {
		return Math.min(this.#configurationReadAt, this.#targetsReadAt);
	}

	service(name: string): ServiceDescription | undefined {
		return this.#services.get(name);
	}

	/** Reads the store that the settings name, from now on. */
	start(): void {
		const {context, createStore} = this.#options;
		this.#reader?.stop();
		void this.#store?.close();
		const store = createStore(context.settings());
		this.#store = store;
		this.#reader = new StoreReader(store, context.settings().store.readsPerSecond, {
			onConfiguration: (configuration, askedAt) => {
				this.#configurationReadAt = askedAt;
				this.#storeAnswered();
				if (configuration !== undefined) {
					this.adopt(configuration, askedAt, 'store', 'store');
				}
			},
			onTargets: (list, unreadable, askedAt) => {
				this.#targetsReadAt = askedAt;
				context.metrics.gauge('targets.unreadable', unreadable);
				this.adoptTargets(list, askedAt, 'store', 'store');
			},
			onFailure: (call, detail) => {
				this.#storeFailed(call, detail);
			},
			gateways: context.gatewayCount,
			random: context.random,
			now: context.now,
			timers: context.timers,
			isFed: () => this.feed.isFed(context.now()),
		});
		this.#reader.start();
	}

	async stop(): Promise<void> {
		this.#reader?.stop();
		await this.#store?.close();
	}

	/** Takes a configuration that was asked for at `readAt`. */
	adopt(configuration: FleetConfiguration, readAt: number, source: 'store' | 'peer', from: string): void {
		const {context, onConfiguration} = this.#options;
		if (!this.inForce.adopt(configuration, source, readAt)) {
			return;
		}

		this.#services.clear();
		for (const service of configuration.services) {
			this.#services.set(service.name, service);
		}

		context.metrics.gauge('configuration.version', configuration.version);
		context.log.info({
			event: 'configuration adopted', version: configuration.version, routes: configuration.routes.length, source, from,
		}, 'configuration adopted');
		onConfiguration(configuration);
	}

	/** Takes a list that was asked for at `readAt`, unless a newer one is in force. */
	adoptTargets(list: TargetList, readAt: number, source: 'store' | 'peer', from: string): void {
		const {targetRegistry, metrics, now} = this.#options.context;
		if (list.revision < targetRegistry.list.revision) {
			metrics.count('targets.list.older');
		}

		this.#learn(targetRegistry.adopt(list, readAt, now()), source, from);
	}

	/** Takes a peer's word that the list in force still held at `readAt`. */
	confirmTargets(revision: number, readAt: number, from: string): void {
		const {targetRegistry, now} = this.#options.context;
		this.#learn(targetRegistry.confirm(revision, readAt, now()), 'peer', from);
	}

	/** Chooses the gateway that reads the store for this one, as gateways come and go. */
	updateFeed(peers: Parameters<StoreFeed['update']>[0]): void {
		const {metrics, log, now} = this.#options.context;
		const former = this.feed.reader;
		this.feed.update(peers);
		if (this.feed.reader !== former) {
			log.info({event: 'store reader', reader: this.feed.reader}, this.feed.reader === '' ? 'this gateway reads the store' : 'another gateway reads the store for this one');
		}

		const isFed = this.feed.isFed(now());
		metrics.gauge('store.fed', isFed ? 1 : 0);
		if (isFed !== this.#wasFed) {
			this.#wasFed = isFed;
			log.info({
				event: 'store fed', isFed, reader: this.feed.reader, age: Math.round(Math.min(mostLoggedAge, now() - this.feed.readAt)),
			}, isFed ? 'told by another gateway what the store says' : 'not told what the store says; reads itself');
		}
	}

	#learn(changes: Changes, source: 'store' | 'peer', from: string): void {
		const {context, onTargets} = this.#options;
		const {targetRegistry, metrics, log} = context;
		const facts = listFacts(context);
		for (const {kind, record} of changes) {
			metrics.count(`target.${kind}`);
			log.info({
				event: `target ${kind}`, target: record.id, bornAt: record.bornAt, address: record.address, service: record.service, role: record.role, source, from, ...facts,
			}, `target ${kind}`);
		}

		metrics.gauge('targets.kept', targetRegistry.retainedCount);
		if (targetRegistry.retainedCount !== this.#kept) {
			this.#kept = targetRegistry.retainedCount;
			log.info({
				event: 'targets kept', count: targetRegistry.retainedCount, ...facts,
			}, 'targets that are not listed are kept after the store was away');
		}

		onTargets(changes);
	}

	#storeAnswered(): void {
		if (!this.#hasStore) {
			this.#hasStore = true;
			this.#options.context.log.info({event: 'store reached'}, 'store answers');
		}
	}

	#storeFailed(call: string, detail: string): void {
		const {metrics, log} = this.#options.context;
		metrics.count('store.failed');
		if (this.#hasStore) {
			this.#hasStore = false;
			log.warn({event: 'store lost', call, detail}, 'store does not answer');
		}
	}
}
