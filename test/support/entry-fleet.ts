/**
Entry gateways on loopback before a store and targets of our own.
*/
import http from 'node:http';
import type {Test} from 'tap';
import {logger} from '../../source/shared/logger.js';
import {setLogOutput} from '../../source/shared/set-log-output.js';
import {EntryGateway} from '../../source/entry/entry-gateway.js';
import type {EntrySettings} from '../../source/entry/entry-settings.js';
import {PlatformDutyInterface} from '../../platform/platform-duty-interface.js';
import {PlatformLeaseStore} from '../../platform/platform-lease-store.js';
import {PlatformStore} from '../../platform/platform-store.js';
import {targetProtocol} from '../../platform/target-protocol.js';
import {freePort} from '../../stand-ins/free-port.js';
import {PlatformStoreStandIn} from '../../stand-ins/platform-store-stand-in.js';
import {PlatformTargetStandIn} from '../../stand-ins/platform-target-stand-in.js';
import {RawTargetStandIn} from '../../stand-ins/raw-target-stand-in.js';

type Reply = {readonly status: number; readonly headers: http.IncomingHttpHeaders; readonly body: string; readonly isWhole: boolean};

/** Waits until a condition holds; the runner's own time limit ends a test in which it never does. */
const until = async (condition: () => boolean): Promise<void> => {
	while (!condition()) {
		await new Promise(resolve => { // eslint-disable-line no-await-in-loop
			setTimeout(resolve, 10);
		});
	}
};

/**
A store, targets and gateways that are stopped when the test ends.

@example
```
const fleet = await EntryFleet.start(t);
const target = await fleet.addTarget('i-1', 'bids');
const gateway = await fleet.addGateway();
const reply = await fleet.ask(gateway, {path: '/bids/1', requestId: 'r1'});
```
*/
export class EntryFleet {
	static async start(t: Test): Promise<EntryFleet> {
		const fleet = new EntryFleet();
		await fleet.store.start();
		setLogOutput(line => {
			fleet.lines.push(line);
		});
		t.teardown(async () => {
			await fleet.#stop();
		});
		return fleet;
	}

	readonly store = new PlatformStoreStandIn();
	readonly lines: string[] = [];
	/** Teams of the next versions, as the store holds them; undefined for a deployment without teams. */
	tenants: unknown;
	readonly #targets: Array<PlatformTargetStandIn | RawTargetStandIn> = [];
	readonly #gateways: EntryGateway[] = [];
	#version = 0;

	/** Writes the next version of the configuration; routes and services as the store holds them. */
	configure(routes: ReadonlyArray<Readonly<Record<string, unknown>>>, services: ReadonlyArray<Readonly<Record<string, unknown>>>, version = this.#version + 3): void {
		this.#version = version;
		this.store.put('op/config', JSON.stringify({
			version,
			routes: routes.map(route => ({
				host: 'a.example', timeoutMs: 3000, targetLatencyMs: 500, priority: 0, maxAttempts: 1, ...route,
			})),
			tenants: this.tenants,
			services: services.map(service => ({healthPath: '/healthz', maxConnections: 100, ...service})),
			limits: {
				maxHeaderBytes: 16_384, maxBodyBytes: 100_000, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
			},
		}));
	}

	async addTarget(id: string, service: string, more: Readonly<Record<string, unknown>> = {}): Promise<PlatformTargetStandIn> {
		return this.#register(new PlatformTargetStandIn(id), service, more);
	}

	/** A target whose answers are written byte by byte. */
	async addRawTarget(id: string, service: string, answer: RawTargetStandIn['answer'], more: Readonly<Record<string, unknown>> = {}): Promise<RawTargetStandIn> {
		return this.#register(new RawTargetStandIn(id, answer), service, more);
	}

	/** A gateway that is ready, unless `isAwaited` is false. */
	async addGateway(more: Partial<EntrySettings> = {}, isAwaited = true): Promise<{readonly gateway: EntryGateway; readonly settings: EntrySettings}> {
		const [callers, readiness, peers] = await Promise.all([freePort(), freePort(), freePort()]);
		const settings: EntrySettings = {
			name: `gateway-${this.#gateways.length + 1}`,
			availabilityZone: 'zone-a',
			listen: {callers: {host: '127.0.0.1', port: callers}, readiness: {host: '127.0.0.1', port: readiness}, peers: {host: '127.0.0.1', port: peers}},
			isFirstStart: true,
			linkMegabits: 1000,
			peerSeeds: [],
			store: {address: this.store.address, readsPerSecond: 2000},
			bounds: {
				heartbeatMilliseconds: 1200, graceMilliseconds: 600, retryShare: 0.2, retryWindowMilliseconds: 10_000, retryExtra: 50,
			},
			...more,
		};
		const gateway = new EntryGateway({
			settings,
			protocol: targetProtocol,
			createStore: ({store}) => new PlatformStore(store.address),
			createDutyPorts: current => ({
				store: new PlatformLeaseStore(() => current().store.address),
				duties: new PlatformDutyInterface(() => current().usageReports?.address ?? ''),
			}),
			metricsPort: undefined,
			log: logger.child({process: settings.name}),
		});
		this.#gateways.push(gateway);
		await gateway.start();
		if (isAwaited) {
			await until(() => gateway.isReady);
		}

		return {gateway, settings};
	}

	/** Asks as a caller; settles when the answer ends, whole or not. */
	async ask({settings}: {readonly settings: EntrySettings}, {path, requestId, method = 'POST', body = '', headers = {}, onRequest}: {
		readonly path: string; readonly requestId: string; readonly method?: string; readonly body?: string; readonly headers?: http.OutgoingHttpHeaders; readonly onRequest?: (request: http.ClientRequest) => void;
	}): Promise<Reply> {
		return new Promise(resolve => {
			const request = http.request({
				...settings.listen.callers, method, path, agent: false, headers: {host: 'a.example', 'x-request-id': requestId, ...headers},
			}, response => {
				const chunks: string[] = [];
				response.setEncoding('latin1');
				response.on('data', (chunk: string) => {
					chunks.push(chunk);
				});
				response.on('error', () => {
					// The close event follows and tells that the answer is not whole.
				});
				response.on('close', () => {
					resolve({
						status: response.statusCode ?? 0, headers: response.headers, body: chunks.join(''), isWhole: response.complete,
					});
				});
			});
			request.on('error', () => {
				resolve({
					status: 0, headers: {}, body: '', isWhole: false,
				});
			});
			onRequest?.(request);
			request.end(body);
		});
	}

	/** The status of the answer alone. */
	async status(gateway: {readonly settings: EntrySettings}, question: Parameters<EntryFleet['ask']>[1]): Promise<number> {
		const {status} = await this.ask(gateway, question);
		return status;
	}

	/** Log contexts with this event. */
	logged(event: string): ReadonlyArray<Readonly<Record<string, unknown>>> {
		return this.lines
			.map(line => (JSON.parse(line) as {readonly context: Readonly<Record<string, unknown>>}).context)
			.filter(context => context.event === event);
	}

	async until(condition: () => boolean): Promise<void> {
		await until(condition);
	}

	async #register<Target extends PlatformTargetStandIn | RawTargetStandIn>(target: Target, service: string, more: Readonly<Record<string, unknown>>): Promise<Target> {
		await target.start();
		this.#targets.push(target);
		this.store.put(`servers/${target.id}`, target.entry(service, more));
		return target;
	}

	async #stop(): Promise<void> {
		for (const target of this.#targets) {
			target.stop();
		}

		await Promise.all(this.#gateways.map(async gateway => gateway.stop()));
		this.store.stop();
	}
}
