/**
An entry gateway of a soak, as a process of its own that is stopped, killed, frozen and started again.
*/
import {spawn, type ChildProcess} from 'node:child_process';
import fs from 'node:fs';
import http from 'node:http';
import process from 'node:process';
import {freePort} from '../../stand-ins/free-port.js';
import type {SoakRecord} from './soak-record.js';

type SoakGatewayOptions = {
	readonly name: string;
	readonly storeAddress: string;
	/** Addresses of other gateways. */
	readonly seeds: () => readonly string[];
	readonly folder: string;
	readonly record: SoakRecord;
};

const program = 'build/source/binaries/cowsliprudder-entry.js';
/** Limits of the heap, as the deploy file sets them. */
const heapFlags = ['--max-old-space-size=128', '--max-semi-space-size=4'];
const graceSeconds = 8;
const readinessIntervalMilliseconds = 300;

/** Processes to end when the soak itself ends, however it ends. */
const children = new Set<ChildProcess>();

process.once('exit', () => {
	for (const child of children) {
		child.kill('SIGKILL');
	}
});

/**
One instance a gateway, with the same ports in all its lives.

@example
```
const gateway = await SoakGateway.create({name: 'gateway-1', storeAddress, seeds: () => [], folder, record});
gateway.start();
```
*/
export class SoakGateway {
	static async create(options: SoakGatewayOptions): Promise<SoakGateway> {
		const [callers, readiness, control] = await Promise.all([freePort(), freePort(), freePort()]);
		return new SoakGateway(options, {callers, readiness, control});
	}

	/** True while new connections go to it. */
	isReady = false;
	/** Times that the process was killed, or ended by itself. */
	losses = 0;
	#child: ChildProcess | undefined;
	#starts = 0;
	/** Processes that were told to end; the news of their end may come after the next one has started. */
	readonly #told = new WeakSet<ChildProcess>();
	readonly #timer: NodeJS.Timeout;
	readonly #options: SoakGatewayOptions;

	private constructor(options: SoakGatewayOptions, readonly ports: {readonly callers: number; readonly readiness: number; readonly control: number}) {
		this.#options = options;
		this.#writeSettings();
		this.#timer = setInterval(() => {
			this.#checkReadiness();
		}, readinessIntervalMilliseconds);
	}

	get name(): string {
		return this.#options.name;
	}

	get controlAddress(): string {
		return `127.0.0.1:${this.ports.control}`;
	}

	/** Undefined while it does not run. */
	get processId(): number | undefined {
		return this.#child?.pid;
	}

	get isRunning(): boolean {
		return this.#child !== undefined;
	}

	start(): void {
		const {folder, name, record} = this.#options;
		this.#starts++;
		this.#writeSettings();
		const log = fs.openSync(`${folder}/${name}.log`, 'a');
		const child = spawn(process.execPath, [...heapFlags, program, this.#settingsPath], {stdio: ['ignore', log, log]});
		fs.closeSync(log);
		this.#child = child;
		children.add(child);
		child.once('exit', (code, signal) => {
			children.delete(child);
			if (this.#child === child) {
				this.#child = undefined;
				this.isReady = false;
			}

			if (!this.#told.has(child) || (signal === null && code !== 0)) {
				this.losses++;
				record.report(`FAULT: ${name} ended by itself: ${signal ?? code}`);
			}
		});
	}

	/** Stops it as planned, with SIGKILL at the end of the grace period. */
	async stop(): Promise<void> {
		const child = this.#child;
		if (child === undefined) {
			return;
		}

		this.#told.add(child);
		const exited = new Promise<void>(resolve => {
			child.once('exit', () => {
				resolve();
			});
		});
		const timer = setTimeout(() => {
			this.#options.record.report(`LOST: ${this.name} still ran at the end of its grace period`);
			this.losses++;
			child.kill('SIGKILL');
		}, graceSeconds * 1000);
		child.kill('SIGTERM');
		await exited;
		clearTimeout(timer);
	}

	kill(): void {
		if (this.#child !== undefined) {
			this.#told.add(this.#child);
			this.losses++;
			this.#child.kill('SIGKILL');
		}
	}

	signal(signal: 'SIGSTOP' | 'SIGCONT' | 'SIGHUP'): void {
		this.#child?.kill(signal);
	}

	/** Ends what is left when the soak is over. */
	end(): void {
		clearInterval(this.#timer);
		if (this.#child !== undefined) {
			this.#told.add(this.#child);
			this.#child.kill('SIGKILL');
		}
	}

	get #settingsPath(): string {
		return `${this.#options.folder}/${this.name}.toml`;
	}

	#writeSettings(): void {
		const {seeds, storeAddress} = this.#options;
		fs.writeFileSync(this.#settingsPath, `
nodeName = "${this.name}"
zone = "zone-a"
seeds = ${JSON.stringify(seeds())}
bootstrap = ${this.#starts <= 1}
heartbeatMs = 1200
[listen]
frontend = "127.0.0.1:${this.ports.callers}"
readyAddress = "127.0.0.1:${this.ports.readiness}"
controlPlane = "${this.controlAddress}"
[bounds]
drainMs = 2000
graceS = ${graceSeconds}
retryBudgetRatio = 0.2
budgetWindowS = 10
retryBudgetExtra = 58
[limits]
linkMbps = 1000.0
[platform]
address = "${storeAddress}"
readsPerS = 2000
`);
	}

	#checkReadiness(): void {
		const request = http.get({
			host: '127.0.0.1', port: this.ports.readiness, path: '/v1/readyz', agent: false, timeout: readinessIntervalMilliseconds,
		}, response => {
			response.resume();
			this.isReady = response.statusCode === 200;
		});
		request.on('timeout', () => {
			request.destroy();
		});
		request.on('error', () => {
			this.isReady = false;
		});
	}
}
