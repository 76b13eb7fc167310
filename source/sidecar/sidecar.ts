/**
Sidecar process of one target: admits attempts, runs them at the target, carries out orders, and drains before it stops.
*/
import {ConfigurationReplica} from '../configuration/configuration-replica.js';
import {ConfigurationWatcher} from '../configuration/configuration-watcher.js';
import {OrderGate} from '../decisions/authority/order-gate.js';
import {AttemptTable} from '../decisions/attempts/attempt-table.js';
import type {Message} from '../generated/messages.js';
import type {SidecarSettings} from '../generated/sidecar-settings.js';
import {EtcdKeyValueService} from '../ports/etcd-key-value-service.js';
import {ModelEngineTarget} from '../ports/model-engine-target.js';
import {PlainTarget} from '../ports/plain-target.js';
import type {Target} from '../ports/target.js';
import {clock} from '../shared/clock.js';
import {logger} from '../shared/logger.js';
import {Metrics} from '../shared/metrics.js';
import {newIdentifier} from '../shared/new-identifier.js';
import {parseAddress} from '../shared/parse-address.js';
import {pause} from '../shared/pause.js';
import {AttemptRunner} from './attempt-runner.js';
import {LinkServer} from './link-server.js';
import {OrderExecutor} from './order-executor.js';

const protocolVersion = 1;
const tickIntervalMilliseconds = 50;
const stateReadIntervalMilliseconds = 500;
const loadReportIntervalMilliseconds = 2000;
/** Number of consecutive failed reads of the target's state after which new work is refused. */
const unreadableStatesBeforeRefusal = 2;
/** An unchanged load is reported at this longer interval; otherwise idle targets would cost their gateways as much as busy ones. */
const unchangedLoadReportIntervalMilliseconds = 10_000;
const exchangeIntervalMilliseconds = 2000;
const drainCheckIntervalMilliseconds = 20;
/** Time that gateways get to fetch the remaining output after the target is idle. */
const outputFetchTimeoutMilliseconds = 5000;
const defaultParallelCalls = 32;
const defaultLongestOrderMilliseconds = 60_000;
const defaultLongestDrainMilliseconds = 600_000;
const assumedCapacity = {kind: 'plain', mostRunning: 1, callMilliseconds: 20} as const;

const log = logger.child({module: 'sidecar'});

const createTarget = ({kind, address, parallelCalls, longestOrderMilliseconds}: SidecarSettings['target']): Target => {
	switch (kind) {
		case 'engine': {
			return new ModelEngineTarget(address, longestOrderMilliseconds ?? defaultLongestOrderMilliseconds);
		}

		case 'plain': {
			return new PlainTarget(address, parallelCalls ?? defaultParallelCalls);
		}
	}
};

/**
Runs a sidecar with the given settings.

@example
```
const sidecar = new Sidecar(settings);
await sidecar.start();
await sidecar.stop(); // lets running requests finish
```
*/
export class Sidecar {
	readonly incarnation = newIdentifier();
	readonly metrics: Metrics;
	readonly configurationReplica: ConfigurationReplica;
	readonly #store: EtcdKeyValueService;
	readonly #watcher: ConfigurationWatcher;
	readonly #target: Target;
	readonly #table = new AttemptTable(assumedCapacity);
	readonly #runner: AttemptRunner;
	readonly #links: LinkServer;
	readonly #gate: OrderGate;
	readonly #executor: OrderExecutor;
	#drainingForOrder = false;
	#refusing = false;
	#unreadableStates = 0;
	#reportedLoad = '';
	#reportedAt = 0;
	readonly #peers = new Map<string, {readonly send: (message: Message) => boolean}>();
	#timers: readonly NodeJS.Timeout[] = [];

	constructor(readonly settings: SidecarSettings) {
		this.metrics = new Metrics(settings.metrics, settings.name);
		this.#store = new EtcdKeyValueService(settings.platform.keyValueService);
		this.configurationReplica = new ConfigurationReplica(this.metrics, () => undefined);
		this.#watcher = new ConfigurationWatcher(this.#store, this.configurationReplica);
		this.#target = createTarget(settings.target);
		this.#links = new LinkServer({
			metrics: this.metrics,
			hasWork: link => this.#table.hasAttemptsOf(link),
			onOpen: link => {
				this.#sendHello(link);
			},
			onMessage: (link, message) => {
				this.#receive(link, message);
			},
			onClosed: link => {
				this.#onLinkClosed(link);
			},
		});
		this.#runner = new AttemptRunner({
			table: this.#table,
			target: this.#target,
			metrics: this.metrics,
			send: (link, message) => {
				this.#links.send(link, message);
			},
			onEventHandled: () => {
				this.#reportIdle();
			},
		});
		this.#gate = new OrderGate(clock(), settings.target.longestOrderMilliseconds ?? defaultLongestOrderMilliseconds);
		this.#executor = new OrderExecutor({
			gate: this.#gate,
			target: this.#target,
			store: this.#store,
			metrics: this.metrics,
			load: () => this.#table.load(clock()),
			send: (link, message) => {
				this.#links.send(link, message);
			},
			setDraining: draining => {
				this.#setDraining(draining);
			},
		});
	}

	async start(): Promise<void> {
		this.#watcher.start();
		await this.#readState();
		await this.#links.listen(parseAddress(this.settings.listen));
		this.#timers = [
			setInterval(() => {
				this.#runner.dispatch({kind: 'tick'});
				this.#executor.dispatch({kind: 'tick'});
			}, tickIntervalMilliseconds),
			setInterval(() => {
				void this.#readState();
			}, stateReadIntervalMilliseconds),
			setInterval(() => {
				this.#reportChangedLoad();
			}, loadReportIntervalMilliseconds),
			setInterval(() => {
				this.configurationReplica.exchange(Math.random);
			}, exchangeIntervalMilliseconds),
		];
		log.info({name: this.settings.name, listen: this.settings.listen}, 'sidecar started');
	}

	/** Stops gracefully: refuses new work, reports this to every gateway, and waits until running attempts have ended and gateways have fetched their output. */
	async stop(): Promise<void> {
		log.info({attempts: this.#table.size}, 'sidecar leaving');
		this.#runner.dispatch({kind: 'leave'});
		this.#reportLoad();
		const drainDeadline = clock() + (this.settings.stopping?.longestDrainMilliseconds ?? defaultLongestDrainMilliseconds);
		while (!this.#table.isIdle && clock() < drainDeadline) {
			await pause(drainCheckIntervalMilliseconds); // eslint-disable-line no-await-in-loop
		}

		const outputFetchDeadline = clock() + outputFetchTimeoutMilliseconds;
		while (!this.#table.isDrained && clock() < outputFetchDeadline) {
			await pause(drainCheckIntervalMilliseconds); // eslint-disable-line no-await-in-loop
		}

		for (const timer of this.#timers) {
			clearInterval(timer);
		}

		this.#watcher.stop();
		this.#links.close();
		await Promise.all([this.#target.close(), this.#store.close()]);
		this.metrics.close();
		log.info({}, 'sidecar stopped');
	}

	/** A plain target accepts no orders, so its load report never says that it is changing. */
	get #isEngine(): boolean {
		return this.settings.target.kind === 'engine';
	}

	#sendHello(link: string): void {
		this.#links.send(link, {
			kind: 'hello',
			protocol: protocolVersion,
			process: this.settings.name,
			incarnation: this.incarnation,
			service: this.settings.service,
			generation: this.configurationReplica.generation,
			load: this.#table.load(clock()),
		});
	}

	#receive(link: string, message: Message): void {
		switch (message.kind) {
			case 'hello': {
				const peer = {send: (sent: Message): boolean => this.#links.send(link, sent)};
				this.#peers.set(link, peer);
				this.configurationReplica.addPeer(peer, message.generation);
				break;
			}

			case 'generation': {
				this.#withPeer(link, peer => {
					this.configurationReplica.receiveGeneration(peer, message.generation);
				});
				break;
			}

			case 'configuration': {
				this.configurationReplica.receive(message.document, 'peer', this.#peers.get(link));
				break;
			}

			case 'attempt': {
				this.#runner.dispatch({kind: 'attempt arrived', link, message});
				break;
			}

			case 'resume': {
				this.#runner.dispatch({...message, link});
				break;
			}

			case 'acknowledge':
			case 'cancel': {
				this.#runner.dispatch(message);
				break;
			}

			case 'raise fence': {
				this.#executor.dispatch({kind: 'raise fence', link, fencingNumber: message.fencingNumber});
				break;
			}

			case 'order': {
				this.#executor.dispatch({kind: 'order', link, message});
				break;
			}

			case 'heartbeat':
			case 'refused':
			case 'output':
			case 'finished':
			case 'attempt unknown':
			case 'load':
			case 'fence raised':
			case 'order result': {
				this.metrics.count('link.unexpected-message');
				break;
			}
		}
	}

	#withPeer(link: string, action: (peer: {readonly send: (message: Message) => boolean}) => void): void {
		const peer = this.#peers.get(link);
		if (peer !== undefined) {
			action(peer);
		}
	}

	#onLinkClosed(link: string): void {
		this.#withPeer(link, peer => {
			this.configurationReplica.removePeer(peer);
		});
		this.#peers.delete(link);
		this.#runner.dispatch({kind: 'link closed', link});
	}

	/** Reports the load if it has changed since the last report or the longer interval has passed. */
	#reportChangedLoad(): void {
		const text = JSON.stringify(this.#table.load(clock()));
		if (text !== this.#reportedLoad || clock() - this.#reportedAt >= unchangedLoadReportIntervalMilliseconds) {
			this.#reportLoad();
		}
	}

	#reportLoad(): void {
		this.#reportedLoad = JSON.stringify(this.#table.load(clock()));
		this.#reportedAt = clock();

		this.#links.broadcast({kind: 'load', load: this.#table.load(clock())});
	}

	async #readState(): Promise<void> {
		const state = await this.#target.state();
		state.match(({capacity, role, model, version, isChanging}) => {
			this.#table.updateCapacity(capacity);
			this.#table.targetState = {
				role, model, version, changing: this.#isEngine && (isChanging || !this.#gate.isSettled),
			};
			this.#executor.dispatch({kind: 'engine state', isChanging});
			this.#unreadableStates = 0;
			this.#updateAdmission();
		}, detail => {
			this.metrics.count('target.state-unreadable');
			log.warn({detail}, 'target state unreadable');
			this.#unreadableStates += 1;
			this.#updateAdmission();
		});
	}

	/** Admits new work unless the target drains for an order or its state cannot be read. */
	#updateAdmission(): void {
		const shouldRefuse = this.#drainingForOrder || this.#unreadableStates >= unreadableStatesBeforeRefusal;
		if (shouldRefuse === this.#refusing) {
			return;
		}

		this.#refusing = shouldRefuse;
		this.#runner.dispatch({kind: shouldRefuse ? 'empty' : 'return'});
		this.#reportLoad();
	}

	/** While an order waits or runs, new work is refused and running work continues to its end. */
	#setDraining(draining: boolean): void {
		this.#drainingForOrder = draining;
		this.#table.targetState = {...this.#table.targetState, changing: this.#isEngine && !this.#gate.isSettled};
		this.#updateAdmission();
		this.#reportIdle();
	}

	#reportIdle(): void {
		if (this.#drainingForOrder && this.#table.isIdle) {
			this.#executor.dispatch({kind: 'target idle'});
		}
	}
}
