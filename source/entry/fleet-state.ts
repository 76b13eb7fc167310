/**
Holds a gateway's view of the configuration and the targets, from the store and from peers.
*/
import {ConfigurationInForce} from '../decisions/entry/store/configuration-in-force.js';
import {isOlderPosition} from '../decisions/entry/store/is-older-position.js';
import {StoreFeed} from '../decisions/entry/store/store-feed.js';
import type {TargetRegistry} from '../decisions/entry/targets/target-registry.js';
import type {FleetConfiguration} from '../fleet/fleet-configuration.js';
import type {ServiceDescription} from '../fleet/service-description.js';
import type {TargetList} from '../fleet/target-list.js';
import type {FleetStore} from '../ports/fleet-store.js';
import type {EntryContext} from './entry-context.js';
import type {EntrySettings} from './entry-settings.js';
import {targetListStatus} from './target-list-status.js';
import {StoreReader} from './store-reader.js';

type Changes = ReturnType<TargetRegistry['adopt']>;

type FleetStateOptions = {
	readonly context: EntryContext;
	readonly createStore: (settings: EntrySettings) => FleetStore;
	/** Called once a newer configuration is in force. */
	readonly onConfiguration: (configuration: FleetConfiguration) => void;
	/** Called after each list of targets, and each confirmation of one, with the changes. */
	readonly onTargets: (changes: Changes) => void;
};

/** Upper bound of an age in log lines and messages. An event that never took place has this age. */
const maxReportedAgeMilliseconds = 3_600_000;

/**
Adopts newer data from the store and from peers, and logs each change.

Invariant: the version of the configuration in force never decreases.

@example
```
fleetState.start();
fleetState.adoptTargets({revision, targets}, readAt, 'peer', 'gateway-2');
```
*/
export class FleetState {
	readonly inForce = new ConfigurationInForce();
	readonly feed: StoreFeed;
	#configurationReadAt = Number.NEGATIVE_INFINITY;
	#targetsReadAt = Number.NEGATIVE_INFINITY;
	#isStoreReachable = false;
	#wasFed = false;
	#retainedCount = 0;
	#staleEntryCount = 0;
	/** The newest era of the store that this gateway has seen; 0 when the store does not number its eras. */
	#era = 0;
	#restoredAt = Number.NEGATIVE_INFINITY;
	#reader: StoreReader | undefined;
	#store: FleetStore | undefined;
	readonly #options: FleetStateOptions;
	readonly #services = new Map<string, ServiceDescription>();

	constructor(options: FleetStateOptions) {
		this.#options = options;
		const {name, linkMegabits} = options.context.settings();
		this.feed = new StoreFeed({name, linkMegabits});
	}

	/** When both configuration and targets were last read from the store by this gateway. */
	get storeReadAt(): number {
		return Math.min(this.#configurationReadAt, this.#targetsReadAt);
	}

	/** The store that is read now. */
	get store(): FleetStore | undefined {
		return this.#store;
	}

	get era(): number {
		return this.#era;
	}

	/** How many milliseconds ago this gateway saw the store come back from an older copy, at most `maxReportedAgeMilliseconds`. */
	get sinceRestore(): number {
		return Math.round(Math.min(maxReportedAgeMilliseconds, this.#options.context.now() - this.#restoredAt));
	}

	service(name: string): ServiceDescription | undefined {
		return this.#services.get(name);
	}

	/** Starts to poll the store that the settings name; called again after a change of the settings. */
	start(): void {
		const {context, createStore} = this.#options;
		this.#era = 0;
		this.#reader?.stop();
		void this.#store?.close();
		const store = createStore(context.settings());
		this.#store = store;
		this.#reader = new StoreReader(store, context.settings().store.readsPerSecond, {
			onConfiguration: (configuration, era, requestedAt) => {
				if (!this.#acceptEra(era)) {
					return;
				}

				this.#configurationReadAt = requestedAt;
				this.#recordStoreSuccess();
				if (configuration !== undefined) {
					context.activity.measure('configuration from the store', configuration.routes.length, () => {
						this.adoptConfiguration(configuration, requestedAt, 'store', 'store');
					});
				}
			},
			onTargets: (list, unreadable, requestedAt) => {
				if (!this.#acceptEra(list.era)) {
					return;
				}

				this.#targetsReadAt = requestedAt;
				context.metrics.gauge('targets.unreadable', unreadable);
				context.activity.measure('targets from the store', list.targets.length, () => {
					this.adoptTargets(list, requestedAt, 'store', 'store');
				});
			},
			onFailure: (call, detail) => {
				this.#recordStoreFailure(call, detail);
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

	/** Adopts a configuration that was requested at `readAt`, if it is newer than the one in force. */
	adoptConfiguration(configuration: FleetConfiguration, readAt: number, source: 'store' | 'peer', from: string): void {
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
			event: 'configuration adopted', version: configuration.version, routes: configuration.routes.length, ...this.#recordTeams(configuration), source, from,
		}, 'configuration adopted');
		for (const request of context.openRequests) {
			request.refuseIfDenied();
		}

		onConfiguration(configuration);
	}

	/** Adopts a list that was requested at `readAt`, unless a newer one is in force. */
	adoptTargets(list: TargetList, readAt: number, source: 'store' | 'peer', from: string): void {
		const {targetRegistry, metrics, now} = this.#options.context;
		if (isOlderPosition(list, targetRegistry.list)) {
			metrics.count('targets.list.older');
		} else {
			this.#acceptEra(list.era);
		}

		this.#applyChanges(targetRegistry.adopt(list, readAt, now()), source, from);
	}

	/** Records a peer's report that it saw the store come back from an older copy, so many milliseconds ago. */
	recordPeerEra(era: number, sinceRestoreMilliseconds: number): void {
		if (era === this.#era) {
			this.inForce.recordRestore(this.#options.context.now() - sinceRestoreMilliseconds);
		}
	}

	/** Records a peer's report that the list in force was still current at `readAt`. */
	confirmTargets(revision: number, readAt: number, from: string): void {
		const {targetRegistry, now} = this.#options.context;
		this.#applyChanges(targetRegistry.confirm(revision, readAt, now()), 'peer', from);
	}

	/** Selects the gateway that reads the store for this one, as gateways join and leave. */
	updateFeed(peers: Parameters<StoreFeed['update']>[0]): void {
		const {metrics, log, now} = this.#options.context;
		const previous = this.feed.reader;
		this.feed.update(peers);
		if (this.feed.reader !== previous) {
			log.info({event: 'store reader', reader: this.feed.reader}, this.feed.reader === '' ? 'this gateway reads the store' : 'another gateway reads the store for this one');
		}

		const isFed = this.feed.isFed(now());
		metrics.gauge('store.fed', isFed ? 1 : 0);
		if (isFed !== this.#wasFed) {
			this.#wasFed = isFed;
			log.info({
				event: 'store fed', isFed, reader: this.feed.reader, age: Math.round(Math.min(maxReportedAgeMilliseconds, now() - this.feed.readAt)),
			}, isFed ? 'fed with store data by another gateway' : 'not fed with store data; reads the store itself');
		}
	}

	/** Reports how many teams and keys are in force, and how many are ignored; nothing without teams. */
	#recordTeams({teams}: FleetConfiguration): Readonly<Record<string, number>> {
		if (teams === undefined) {
			return {};
		}

		const {size, ignored} = this.inForce.teamKeys;
		const {metrics} = this.#options.context;
		metrics.gauge('teams.keys', size);
		metrics.gauge('teams.ignored', ignored.teams);
		metrics.gauge('teams.keys-ignored', ignored.keys);
		return {
			teams: teams.length, keys: size, ignoredTeams: ignored.teams, ignoredKeys: ignored.keys,
		};
	}

	/** False when an answer is of an earlier era than the one that this gateway knows: it was delayed, and proves nothing. */
	#acceptEra(era: number): boolean {
		const {metrics, log, now} = this.#options.context;
		const former = this.#era;
		if (era !== 0 && era < former) {
			metrics.count('store.answer.former-era');
			return false;
		}

		if (era > former) {
			this.#era = era;
			metrics.gauge('store.era', era);
		}

		if (era > former && former !== 0) {
			this.#restoredAt = now();
			this.inForce.recordRestore(this.#restoredAt);
			metrics.count('store.restored');
			log.warn({
				event: 'store restored', era, former, configurationVersion: this.inForce.version, ...targetListStatus(this.#options.context),
			}, 'store has come back from an older copy');
		}

		return true;
	}

	#applyChanges(changes: Changes, source: 'store' | 'peer', from: string): void {
		const {context, onTargets} = this.#options;
		const {targetRegistry, metrics, log} = context;
		const listStatus = targetListStatus(context);
		for (const {kind, record} of changes) {
			metrics.count(`target.${kind}`);
			log.info({
				event: `target ${kind}`, target: record.id, bornAt: record.bornAt, address: record.address, service: record.service, role: record.role, source, from, ...listStatus,
			}, `target ${kind}`);
		}

		metrics.gauge('targets.kept', targetRegistry.retainedCount);
		if (targetRegistry.retainedCount !== this.#retainedCount) {
			this.#retainedCount = targetRegistry.retainedCount;
			log.info({
				event: 'targets kept', count: targetRegistry.retainedCount, ...listStatus,
			}, 'targets that are not listed are retained after the store was unavailable');
		}

		metrics.gauge('targets.stale-entries', targetRegistry.staleEntryCount);
		if (targetRegistry.staleEntryCount !== this.#staleEntryCount) {
			this.#staleEntryCount = targetRegistry.staleEntryCount;
			log.info({
				event: 'stale entries', count: targetRegistry.staleEntryCount, ...listStatus,
			}, 'listed targets that are not used because they had gone before the store came back from an older copy');
		}

		onTargets(changes);
	}

	#recordStoreSuccess(): void {
		if (!this.#isStoreReachable) {
			this.#isStoreReachable = true;
			this.#options.context.log.info({event: 'store reached'}, 'store answers');
		}
	}

	#recordStoreFailure(call: string, detail: string): void {
		const {metrics, log} = this.#options.context;
		metrics.count('store.failed');
		if (this.#isStoreReachable) {
			this.#isStoreReachable = false;
			log.warn({event: 'store lost', call, detail}, 'store does not answer');
		}
	}
}
