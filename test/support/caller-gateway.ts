/**
An entry gateway as a process, started as the deploy file does, before a store and targets of this repository.
*/
import {execFileSync, spawn, type ChildProcess} from 'node:child_process';
import fs from 'node:fs';
import http from 'node:http';
import path from 'node:path';
import process from 'node:process';
import type {Test} from 'tap';
import {pause} from '../../source/shared/pause.js';
import {freePort} from '../../stand-ins/free-port.js';
import {PlatformStoreStandIn} from '../../stand-ins/platform-store-stand-in.js';
import {PlatformTargetStandIn} from '../../stand-ins/platform-target-stand-in.js';

type Usage = {
	/** Largest resident memory in megabytes. */
	megabytes: number;
	/** Most open descriptors. */
	descriptors: number;
};

const program = 'target/cowsliprudder-entry.mjs';
/** Small enough that some dozens of clients show each fault. */
const heapFlags = ['--max-old-space-size=48', '--max-semi-space-size=4'];
const sampleIntervalMilliseconds = 50;
const readinessIntervalMilliseconds = 50;
const kilobytesPerMegabyte = 1024;
const maxOrdinaryTries = 12;
const tryTimeoutMilliseconds = 5000;
const tryPauseMilliseconds = 250;

/** Limits that the gateway is told of in its settings and its configuration. */
const limits = {memoryMegabytes: 180, descriptors: 300, bodyBytes: 1_000_000} as const;

const configurationOf = (crowdedConnections: number): string => JSON.stringify({
	version: 3,
	routes: [
		{name: 'ordinary', pathPrefix: '/ordinary/', service: 'sound'},
		{name: 'crowd', pathPrefix: '/crowd/', service: 'crowded'},
	].map(route => ({
		host: 'a.example', routeType: 'idempotent', timeoutMs: 20_000, targetLatencyMs: 5000, priority: 0, maxAttempts: 1, ...route,
	})),
	services: [{name: 'sound', healthPath: '/healthz', maxConnections: 200}, {name: 'crowded', healthPath: '/healthz', maxConnections: crowdedConnections}],
	limits: {
		maxHeaderBytes: 16_384, maxBodyBytes: limits.bodyBytes, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
	},
});

const readMegabytes = (processId: number): number => Number(/VmRSS:\s+(\d+)/.exec(fs.readFileSync(`/proc/${processId}/status`, 'utf8'))?.[1] ?? 0) / kilobytesPerMegabyte;

let isBundled = false;

/** Builds the program as the deploy file does, once a process. */
const bundle = (): void => {
	if (!isBundled) {
		execFileSync(process.execPath, ['scripts/bundle-entry.js']);
		isBundled = true;
	}
};

/**
One instance a test; all of it ends with the test.

@example
```
const gateway = await CallerGateway.start(t);
t.equal(await gateway.askOrdinary(), 200);
t.equal(gateway.end, undefined);
```
*/
export class CallerGateway {
	static readonly limits = limits;

	/** `descriptors` is the limit that the gateway is told; `crowdedConnections` is what the target of the crowd accepts. */
	static async start(t: Test, descriptors: number = limits.descriptors, crowdedConnections = 200): Promise<CallerGateway> {
		bundle();
		const gateway = new CallerGateway(t.testdir(), {callers: await freePort(), readiness: await freePort(), peers: await freePort()}, descriptors, crowdedConnections);
		t.teardown(() => {
			gateway.#stop();
		});
		await gateway.#start();
		return gateway;
	}

	readonly usage: Usage = {megabytes: 0, descriptors: 0};
	/** Answers the requests of the crowd. */
	readonly crowded = new PlatformTargetStandIn('crowded-1');
	/** How the process ended, if it has. */
	end: string | undefined;
	readonly #sound = new PlatformTargetStandIn('sound-1');
	readonly #store = new PlatformStoreStandIn();
	readonly #folder: string;
	#child: ChildProcess | undefined;
	#sampler: NodeJS.Timeout | undefined;

	private constructor(folder: string, readonly ports: {readonly callers: number; readonly readiness: number; readonly peers: number}, readonly descriptors: number, readonly crowdedConnections: number) {
		this.#folder = folder;
	}

	/** Sends one ordinary request, again if it is refused as not run or its connection is closed; resolves with the last status, 0 for none. */
	async askOrdinary(tries = maxOrdinaryTries): Promise<number> {
		const status = await this.ask('/ordinary/1', `ordinary-${tries}`);
		if (status === 200 || tries <= 1 || this.end !== undefined) {
			return status;
		}

		await pause(tryPauseMilliseconds);
		return this.askOrdinary(tries - 1);
	}

	/** Sends one request on a connection of its own; resolves with its status, 0 for none. */
	async ask(target: string, requestId: string): Promise<number> {
		return new Promise(resolve => {
			const request = http.request({
				host: '127.0.0.1', port: this.ports.callers, method: 'POST', path: target, agent: false, timeout: tryTimeoutMilliseconds, headers: {
					host: 'a.example', 'x-request-id': requestId, 'x-deadline-ms': '6000', 'content-length': '2',
				},
			}, response => {
				response.resume();
				response.on('error', () => undefined);
				response.on('close', () => {
					resolve(response.complete ? response.statusCode ?? 0 : 0);
				});
			});
			request.on('timeout', () => {
				request.destroy();
			});
			request.on('error', () => {
				resolve(0);
			});
			request.end('ok');
		});
	}

	async #start(): Promise<void> {
		await Promise.all([this.#store.start(), this.#sound.start(), this.crowded.start()]);
		this.#store.put('op/config', configurationOf(this.crowdedConnections));
		this.#store.put('servers/sound-1', this.#sound.entry('sound'));
		this.#store.put('servers/crowded-1', this.crowded.entry('crowded'));
		const settings = path.join(this.#folder, 'settings.toml');
		fs.writeFileSync(settings, this.#settings());
		const log = fs.openSync(path.join(this.#folder, 'gateway.txt'), 'a');
		const child = spawn(process.execPath, [...heapFlags, program], {stdio: ['ignore', log, log], env: {...process.env, COWSLIPRUDDER_BOOT: settings}}); // eslint-disable-line @typescript-eslint/naming-convention
		fs.closeSync(log);
		this.#child = child;
		child.once('exit', (code, signal) => {
			this.end = String(signal ?? code);
			clearInterval(this.#sampler);
		});
		this.#sampler = setInterval(() => {
			this.#sample();
		}, sampleIntervalMilliseconds);
		await this.#untilReady();
	}

	async #untilReady(): Promise<void> {
		const isReady = await new Promise<boolean>(resolve => {
			http.get({
				host: '127.0.0.1', port: this.ports.readiness, path: '/v1/readyz', agent: false,
			}, response => {
				response.resume();
				resolve(response.statusCode === 200);
			}).on('error', () => {
				resolve(false);
			});
		});
		if (!isReady && this.end === undefined) {
			await pause(readinessIntervalMilliseconds);
			await this.#untilReady();
		}
	}

	#sample(): void {
		try {
			this.usage.megabytes = Math.max(this.usage.megabytes, readMegabytes(this.#child!.pid!));
			this.usage.descriptors = Math.max(this.usage.descriptors, fs.readdirSync(`/proc/${this.#child!.pid!}/fd`).length);
		} catch {
			// The process has ended, which its exit event reports.
		}
	}

	#settings(): string {
		return `
nodeName = "gateway-1"
zone = "zone-a"
seeds = []
bootstrap = true
heartbeatMs = 1200
[listen]
frontend = "127.0.0.1:${this.ports.callers}"
readyAddress = "127.0.0.1:${this.ports.readiness}"
controlPlane = "127.0.0.1:${this.ports.peers}"
[bounds]
graceS = 8
retryBudgetRatio = 0.2
budgetWindowS = 10
retryBudgetExtra = 58
[limits]
linkMbps = 1000.0
memoryMb = ${limits.memoryMegabytes}
maxFds = ${this.descriptors}
[platform]
address = "${this.#store.address}"
readsPerS = 2000
`;
	}

	#stop(): void {
		clearInterval(this.#sampler);
		this.#child?.kill('SIGKILL');
		this.#sound.stop();
		this.crowded.stop();
		this.#store.stop();
	}
}
