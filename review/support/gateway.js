/**
Runs the program of the deploy file as a process, with the settings of a small
deployment. Each process has a loopback address of its own, as each machine has.
*/
import {spawn} from 'node:child_process';
import fs from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import path from 'node:path';
import process from 'node:process';
import {parse} from 'smol-toml';

const root = path.resolve(import.meta.dirname, '../..');
const readyTimeoutMilliseconds = 20_000;

const freePort = async host => new Promise((resolve, reject) => {
	const server = net.createServer();
	server.once('error', reject);
	server.listen(0, host, () => {
		const {port} = server.address();
		server.close(() => {
			resolve(port);
		});
	});
});

const formatSettings = ({name, host, frontend, readiness, control, seeds, storeAddress}) => `
nodeName = "${name}"
role = "entry"
machineClass = "edge"
serves = ["edge", "control"]
ip = "${host}"
zone = "zone-a"
region = "region-a"
internalPortRange = [7660, 7675]
seeds = ${JSON.stringify(seeds)}
bootstrap = true
faultCounted = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base", "drain", "config", "cost", "retry", "recover", "split", "stream", "engine", "platform"]
[zones]
zone-a = "region-a"
zone-b = "region-a"
[listen]
frontend = "${host}:${frontend}"
readyAddress = "${host}:${readiness}"
controlPlane = "${host}:${control}"
[limits]
cpuShare = 0.513
cores = 1
memoryMb = 350
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 1
zones = 0
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
downgradeSlackMs = 250
maxSkewMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
retryBudgetExtra = 58
recoverS = 12
transitMs = 120
reuseWindowS = 10
fencingEnforced = true
leaseMs = 3000
thawMs = 300
[platform]
address = "${storeAddress}"
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
`;

/** Processes that are still to be ended when the scenario ends, however it ends. */
const children = new Set();

process.once('exit', () => {
	for (const child of children) {
		child.kill('SIGKILL');
	}
});

/** The port that the deploy file gives to the metrics; each process has an address of its own on which it is free. */
const metricsPort = 9464;

const isFree = async (host, port) => new Promise(resolve => {
	const server = net.createServer();
	server.once('error', () => {
		resolve(false);
	});
	server.listen(port, host, () => {
		server.close(() => {
			resolve(true);
		});
	});
});

const randomByte = () => 1 + Math.floor(Math.random() * 250);

const freeHost = async () => {
	const host = `127.${randomByte()}.${randomByte()}.${randomByte()}`;
	return await isFree(host, metricsPort) ? host : freeHost();
};

const isReady = async (host, port) => new Promise(resolve => {
	const request = http.get({
		host, port, path: '/v1/readyz', agent: false, timeout: 500,
	}, response => {
		response.resume();
		resolve(response.statusCode === 200);
	});
	request.on('timeout', () => {
		request.destroy();
	});
	request.on('error', () => {
		resolve(false);
	});
});

export class Gateway {
	/** Set once the process has ended: its exit code or its signal. */
	ended;
	host;
	port;
	/** Where other gateways reach it. */
	controlAddress;
	#child;
	#readinessPort;

	static async start({name, storeAddress, folder, seeds = []}) {
		const gateway = new Gateway();
		const host = await freeHost();
		gateway.host = host;
		gateway.port = await freePort(host);
		gateway.#readinessPort = await freePort(host);
		const control = await freePort(host);
		gateway.controlAddress = `${host}:${control}`;
		const settingsPath = path.join(folder, `${name}.toml`);
		fs.writeFileSync(settingsPath, formatSettings({
			name, host, frontend: gateway.port, readiness: gateway.#readinessPort, control, seeds, storeAddress,
		}));
		const {run} = parse(fs.readFileSync(path.join(root, 'deploy/system.toml'), 'utf8')).roles.entry;
		const [program, ...words] = run.split(' ');
		const output = fs.openSync(path.join(folder, `${name}.log`), 'w');
		gateway.#child = spawn(program, words, {
			cwd: root, env: {PATH: process.env.PATH, HOME: process.env.HOME, COWSLIPRUDDER_BOOT: settingsPath}, stdio: ['ignore', output, output],
		});
		children.add(gateway.#child);
		gateway.#child.once('exit', (code, signal) => {
			children.delete(gateway.#child);
			gateway.ended = signal ?? `exit code ${code}`;
		});
		await gateway.#waitUntilReady();
		return gateway;
	}

	get pid() {
		return this.#child.pid;
	}

	/** Resident memory of the process in megabytes; 0 once it has ended. */
	get memoryMegabytes() {
		try {
			const status = fs.readFileSync(`/proc/${this.pid}/status`, 'utf8');
			return Number(/^VmRSS:\s+(\d+)/m.exec(status)?.[1] ?? 0) / 1024;
		} catch {
			// The process has ended.
			return 0;
		}
	}

	signal(name) {
		if (this.ended === undefined) {
			this.#child.kill(name);
		}
	}

	async stop() {
		if (this.ended === undefined) {
			const exited = new Promise(resolve => {
				this.#child.once('exit', resolve);
			});
			this.#child.kill('SIGKILL');
			await exited;
		}
	}

	async #waitUntilReady() {
		const until = performance.now() + readyTimeoutMilliseconds;
		/* eslint-disable no-await-in-loop */
		while (!await isReady(this.host, this.#readinessPort)) {
			if (this.ended !== undefined || performance.now() > until) {
				throw new Error(`the gateway did not become ready: ${this.ended ?? 'timeout'}`);
			}

			await new Promise(resolve => {
				setTimeout(resolve, 100);
			});
		}
		/* eslint-enable no-await-in-loop */
	}
}
